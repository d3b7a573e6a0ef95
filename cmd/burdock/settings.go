package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"burdockyard/io/byentry"
	"burdockyard/io/bylog"
	"burdockyard/platform"
)

// settingsReloader applies changed settings to a running node.
type settingsReloader struct {
	read  func() (platform.Settings, error)
	apply func(byentry.ReloadableSettings)
	log   bylog.Logger
	// current holds the settings of the last successful read.
	current platform.Settings
	// lastError is the text of the last read error, kept so that a repeated error
	// is logged only once.
	lastError string
}

// run rereads the settings at each signal and each poll until ctx is done.
func (r *settingsReloader) run(ctx context.Context, hup <-chan os.Signal, poll <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.log.Info("SIGHUP received, rereading the settings")
			r.lastError = ""
		case <-poll:
		}
		r.reload()
	}
}

// reload reads the settings once. It applies those that a running node can change,
// and logs a warning for the others.
func (r *settingsReloader) reload() {
	s, err := r.read()
	if err != nil {
		if text := err.Error(); text != r.lastError {
			r.lastError = text
			r.log.Warn("settings not taken, the earlier ones stay in force", bylog.Err(err))
		}
		return
	}
	r.lastError = ""
	if s == r.current {
		return
	}
	if before, after := reloadableSettings(r.current), reloadableSettings(s); before != after {
		r.apply(after)
		r.log.Info("settings in force", bylog.Str("was", fmt.Sprintf("%+v", before)), bylog.Str("is", fmt.Sprintf("%+v", after)))
	}
	if restartOnlySettings(r.current) != restartOnlySettings(s) {
		r.log.Warn("settings that need a new start have changed", bylog.Str("was", fmt.Sprintf("%+v", restartOnlySettings(r.current))), bylog.Str("is", fmt.Sprintf("%+v", restartOnlySettings(s))))
	}
	r.current = s
}

// restartOnlySettings returns s with only the settings that a running node cannot
// change: its name, failure domain and addresses.
func restartOnlySettings(s platform.Settings) platform.Settings {
	s.CPUShare, s.LinkMbps, s.MemoryBytes, s.Bounds = 0, 0, 0, platform.Bounds{}
	s.FirstStart = false // it matters only when the process starts
	return s
}
