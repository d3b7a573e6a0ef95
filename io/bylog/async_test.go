package bylog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"burdockyard/io/bylog"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestWriteNeverBlocksOnStalledWriter guards against a node that stalls because its
// log output does: lines can be logged while the underlying writer accepts nothing.
func TestWriteNeverBlocksOnStalledWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := blockingWriter{make(chan struct{})}
		w := bylog.NewAsyncWriter(b)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = w.Run(ctx) }() // never fails
		log := zerolog.New(w)
		for range 10_000 {
			log.Info().Msg("calls: answered")
			log.Warn().Msg("config: store lost")
		}
		cancel()
		close(b.release)
		<-w.Done()
	})
}

// TestWarningsSurviveFloodOfRoutineLines checks that lines on answered calls do not
// fill the queue of the warnings, and that lines beyond the rate limit are counted.
func TestWarningsSurviveFloodOfRoutineLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := bylog.NewAsyncWriter(&out)
		log := zerolog.New(w)
		for range 3000 {
			log.Info().Msg("calls: answered")
		}
		log.Warn().Msg("config: store lost")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := w.Run(ctx); err != nil {
			t.Fatal(err)
		}
		text := out.String()
		if !strings.Contains(text, "store lost") {
			t.Error("the warning was dropped, want it written despite 3000 routine lines")
		}
		if kept := strings.Count(text, "answered"); kept != 500 {
			t.Errorf("%d routine lines written, want 500, the limit of one component per second", kept)
		}
		if !strings.Contains(text, `"lines":2500`) {
			t.Errorf("no report of 2500 dropped lines in: %s", text[:200])
		}
	})
}

// TestRateAndDropCountArePerComponent checks that a component that logs beyond its
// rate limit does not cause lines of other components to be dropped, and that its
// dropped lines are counted under its own name.
func TestRateAndDropCountArePerComponent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := bylog.NewAsyncWriter(&out)
		log := zerolog.New(w)
		for range 2000 {
			log.Info().Msg("calls: answered")
			log.Warn().Msg("calls: failed")
		}
		log.Info().Msg("fleet: endpoint set aside")
		log.Info().Msg("members: node found")
		for range 700 {
			log.Info().Msg("config: configuration in force")
		}
		log.Info().Msg("message without a component")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := w.Run(ctx); err != nil {
			t.Fatal(err)
		}
		for text, want := range map[string]int{
			"calls: answered": 500, "calls: failed": 500, "fleet: endpoint set aside": 1, "members: node found": 1,
			"config: configuration in force": 500, "message without a component": 1,
			`"part":"calls","lines":3000,`: 1, `"part":"config","lines":200,`: 1, "lines dropped": 2,
		} {
			if got := strings.Count(out.String(), text); got != want {
				t.Errorf("output contains %q %d times, want %d", text, got, want)
			}
		}
	})
}
