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

// settingsFollower takes changed settings into force while the node runs.
type settingsFollower struct {
	read func() (platform.Settings, error)
	tune func(byentry.ReloadableSettings)
	log  bylog.Logger
	last platform.Settings
	bad  string // the last mistake, which is logged once
}

// run reads the settings again at each signal and each poll, until ctx ends.
func (f *settingsFollower) run(ctx context.Context, hup <-chan os.Signal, poll <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			f.log.Info("settings read again after a signal")
			f.bad = ""
		case <-poll:
		}
		f.reload()
	}
}

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

// place returns what a running node can't change: its name and its addresses.
func place(s platform.Settings) platform.Settings {
	s.CPUShare, s.LinkMbps, s.MemoryBytes, s.Bounds = 0, 0, 0, platform.Bounds{}
	s.FirstStart = false // matters at a start only
	return s
}
