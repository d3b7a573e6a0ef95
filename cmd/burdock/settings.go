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

// settingsFollower applies changed settings to a running node.
type settingsFollower struct {
	read func() (platform.Settings, error)
	tune func(byentry.Tuning)
	log  bylog.Logger
	// last is the settings that were read last without an error.
	last platform.Settings
	// bad is the text of the last read error, kept so that a repeated error is logged
	// once only.
	bad string
}

// run rereads the settings at each signal and each poll until ctx is done.
func (f *settingsFollower) run(ctx context.Context, hup <-chan os.Signal, poll <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			f.log.Info("SIGHUP received, rereading the settings")
			f.bad = ""
		case <-poll:
		}
		f.reload()
	}
}

// reload reads the settings once. It applies those that a running node can change,
// and logs a warning for the others.
func (f *settingsFollower) reload() {
	s, err := f.read()
	if err != nil {
		if text := err.Error(); text != f.bad {
			f.bad = text
			f.log.Warn("settings not taken, the earlier ones stay in force", bylog.Err(err))
		}
		return
	}
	f.bad = ""
	if s == f.last {
		return
	}
	if was, is := tuning(f.last), tuning(s); was != is {
		f.tune(is)
		f.log.Info("settings in force", bylog.Str("was", fmt.Sprintf("%+v", was)), bylog.Str("is", fmt.Sprintf("%+v", is)))
	}
	if place(f.last) != place(s) {
		f.log.Warn("settings that need a new start have changed", bylog.Str("was", fmt.Sprintf("%+v", place(f.last))), bylog.Str("is", fmt.Sprintf("%+v", place(s))))
	}
	f.last = s
}

// place returns s with only the settings that a running node cannot change: its
// name, failure domain and addresses.
func place(s platform.Settings) platform.Settings {
	s.CPUShare, s.LinkMbps, s.MemoryBytes, s.Bounds = 0, 0, 0, platform.Bounds{}
	s.FirstStart = false // it matters only when the process starts
	return s
}
