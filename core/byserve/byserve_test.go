package byserve_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/core/byserve"
	"burdockyard/core/bystream"
)

// hangingEngine accepts every call and never sends a token.
type hangingEngine struct{ burdockyard.Engine }

func (hangingEngine) Generate(ctx context.Context, _ burdockyard.GenerateRequest) (burdockyard.TokenStream, error) {
	return hangingStream{ctx: ctx}, nil
}

func (hangingEngine) Resume(context.Context, burdockyard.RequestID, int) (burdockyard.TokenStream, error) {
	return nil, burdockyard.ErrStreamGone
}

func (hangingEngine) Cancel(context.Context, burdockyard.RequestID) error { return nil }

type hangingStream struct {
	burdockyard.TokenStream
	ctx context.Context
}

func (hangingStream) Incarnation() burdockyard.Incarnation { return "i" }
func (hangingStream) Close() error                         { return nil }

func (s hangingStream) Next() (burdockyard.Token, error) {
	<-s.ctx.Done()
	return burdockyard.Token{}, burdockyard.ErrInterrupted
}

type hangingEndpoints struct{}

func (hangingEndpoints) Engine(string) burdockyard.Engine   { return hangingEngine{} }
func (hangingEndpoints) Service(string) burdockyard.Service { return nil }

type discardSink struct{}

func (discardSink) Token(burdockyard.Token, bystream.Position) error { return nil }

func expectOutcome(t *testing.T, err error, want burdockyard.Outcome) {
	t.Helper()
	var callErr *burdockyard.CallError
	if !errors.As(err, &callErr) || callErr.Outcome() != want {
		t.Errorf("got error %v, want outcome %s", err, want)
	}
}

// refusingEngine has lost every stream and starts no new calls.
type refusingEngine struct{ hangingEngine }

func (refusingEngine) Generate(context.Context, burdockyard.GenerateRequest) (burdockyard.TokenStream, error) {
	return nil, burdockyard.ErrNotStarted
}

type refusingEndpoints struct{ hangingEndpoints }

func (refusingEndpoints) Engine(string) burdockyard.Engine { return refusingEngine{} }

// TestResumedCallIsNeverReportedNotRun checks that a call which resumes an answer
// fails with OutcomeFailed, not OutcomeNotRun, since a part of it has run. Both an
// engine that refuses the call and a full queue could otherwise report
// OutcomeNotRun.
func TestResumedCallIsNeverReportedNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManifest(1, 1)
		s := byserve.New(burdockyard.SystemClock{}, refusingEndpoints{}, func() *bymanifest.Manifest { return m })
		class, _ := m.Class("")
		class.MaxQueued = 0
		call := byserve.Call{
			ID: "r", Tenant: "tenant-0000", Class: class, Model: "m", DeliveredText: "text ",
			EncodeBody: func(string, int) ([]byte, error) { return nil, nil },
			ResumeAt:   &bystream.Position{Request: "r", Engine: "engine-0000", Next: 1},
		}
		expectOutcome(t, s.Generate(t.Context(), call, discardSink{}), burdockyard.OutcomeFailed)
		call.ResumeAt, call.DeliveredText = nil, ""
		expectOutcome(t, s.Generate(t.Context(), call, discardSink{}), burdockyard.OutcomeNotRun)
	})
}

// TestCallEndsAtDeadlineAndTenantLimitRefusesAtOnce checks that a call fails at its
// deadline, without the grace period for reconnecting callers, and that a tenant's
// calls beyond its limit are refused without waiting.
func TestCallEndsAtDeadlineAndTenantLimitRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newManifest(1, 1)
		s := byserve.New(burdockyard.SystemClock{}, hangingEndpoints{}, func() *bymanifest.Manifest { return m })
		class, _ := m.Class("")
		call := byserve.Call{
			ID: "r", Tenant: "tenant-0000", MaxOpenCalls: 1, Class: class, Model: "m",
			EncodeBody: func(string, int) ([]byte, error) { return nil, nil },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		first := make(chan error, 1)
		var group sync.WaitGroup
		group.Go(func() { first <- s.Generate(ctx, call, discardSink{}) })
		synctest.Wait()
		expectOutcome(t, s.Generate(ctx, call, discardSink{}), burdockyard.OutcomeNotRun)
		if waited := time.Since(began); waited != 0 {
			t.Errorf("call beyond the limit returned after %s, want 0s", waited)
		}
		expectOutcome(t, <-first, burdockyard.OutcomeFailed)
		if took := time.Since(began); took != 5*time.Second {
			t.Errorf("call failed after %s, want 5s", took)
		}
		expectOutcome(t, s.Generate(ctx, call, discardSink{}), burdockyard.OutcomeNotRun) // the first call has ended; past the deadline no call starts
	})
}
