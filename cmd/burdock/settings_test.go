package main

import (
	"context"
	"errors"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockyard/io/byentry"
	"burdockyard/io/bylog"
	"burdockyard/platform"
)

// TestReloadAppliesEachChangeOnce checks that changed settings are applied
// once each, after a signal and without one, and that a file that cannot be read
// changes nothing.
func TestReloadAppliesEachChangeOnce(t *testing.T) {
	type reading struct {
		s   platform.Settings
		err error
	}
	valid := platform.Settings{Node: "n", LinkMbps: 1000, CPUShare: 0.4, Bounds: platform.Bounds{Grace: 8 * time.Second}}
	shorterGrace := valid
	shorterGrace.Bounds.Grace = 4 * time.Second
	lessCPU := shorterGrace
	lessCPU.CPUShare, lessCPU.FirstStart = 0.2, true
	var applied []byentry.ReloadableSettings
	readings := make(chan reading)
	reloader := settingsReloader{
		read: func() (platform.Settings, error) {
			r := <-readings
			return r.s, r.err
		},
		apply: func(t byentry.ReloadableSettings) { applied = append(applied, t) },
		log:   bylog.ForComponent(zerolog.Nop(), bylog.Node), current: valid,
	}
	hup, poll := make(chan os.Signal), make(chan time.Time)
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		reloader.run(ctx, hup, poll)
		return nil
	})
	for _, r := range []reading{{valid, nil}, {shorterGrace, nil}, {shorterGrace, nil}, {lessCPU, errors.New("truncated settings file")}} {
		poll <- time.Time{}
		readings <- r
	}
	hup <- nil
	readings <- reading{lessCPU, nil}
	stop()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	want := []byentry.ReloadableSettings{
		{Capacity: 0.4, Grace: 4 * time.Second},
		{Capacity: 0.2, Grace: 4 * time.Second},
	}
	if !slices.Equal(applied, want) {
		t.Errorf("applied settings are %+v, want %+v", applied, want)
	}
}

// TestCapacityIsLimitedByLink checks that a slow link limits the capacity of a VM.
func TestCapacityIsLimitedByLink(t *testing.T) {
	for _, c := range []struct{ cpu, link, want float64 }{{0.4, 1000, 0.4}, {0.8, 10, 0.25}, {0.192, 10, 0.192}} {
		if got := capacity(platform.Settings{CPUShare: c.cpu, LinkMbps: c.link}); got != c.want {
			t.Errorf("capacity of %v of a core with a link of %v Mbit/s is %v, want %v", c.cpu, c.link, got, c.want)
		}
	}
}
