package byrole_test

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byrole"
)

const downtime = 3 * time.Second

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// observe records one sample a second for the duration and returns the role that is
// wanted at its end, or "" for none.
func observe(d *byrole.Decider, duration time.Duration, prefill, decode byrole.Pool) burdockyard.Role {
	for range int(duration / time.Second) {
		time.Sleep(time.Second)
		d.Observe(byrole.Sample{Prefill: prefill, Decode: decode, Downtime: downtime})
	}
	role, ok := d.WantedRole()
	if !ok {
		return ""
	}
	return role
}

func TestWantedRole(t *testing.T) {
	type phase struct {
		duration        time.Duration
		prefill, decode byrole.Pool
	}
	engines := func(count int, waitMS int) byrole.Pool { return byrole.Pool{Engines: count, Wait: ms(waitMS)} }
	for _, c := range []struct {
		name   string
		phases []phase
		want   burdockyard.Role
	}{
		{"a burst of long prompts that ends", []phase{{6 * time.Second, engines(4, 600), engines(10, 20)}}, ""},
		{"long prompts that last", []phase{{12 * time.Second, engines(4, 600), engines(10, 20)}}, burdockyard.RolePrefill},
		{"alternating bursts of long prompts and long answers", []phase{
			{6 * time.Second, engines(4, 600), engines(10, 20)}, {6 * time.Second, engines(4, 10), engines(10, 400)},
			{6 * time.Second, engines(4, 600), engines(10, 20)}, {6 * time.Second, engines(4, 10), engines(10, 400)},
		}, ""},
		{"long answers that last", []phase{{12 * time.Second, engines(4, 10), engines(10, 400)}}, burdockyard.RoleDecode},
		{"both roles are short of engines", []phase{{30 * time.Second, engines(4, 600), engines(10, 400)}}, ""},
		{"a wait below the threshold", []phase{{30 * time.Second, engines(4, 100), engines(10, 1)}}, ""},
		{"too few engines to give one up", []phase{{30 * time.Second, engines(4, 600), engines(2, 20)}}, ""},
		{"an engine is lost during the shortage", []phase{{8 * time.Second, engines(4, 600), engines(10, 20)}, {3 * time.Second, engines(4, 600), engines(9, 20)}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := byrole.New(burdockyard.SystemClock{})
				var got burdockyard.Role
				for _, p := range c.phases {
					got = observe(d, p.duration, p.prefill, p.decode)
				}
				if got != c.want {
					t.Errorf("got wanted role %q, want %q", got, c.want)
				}
			})
		})
	}
}

// TestAlternatingLoadCausesFewChanges guards against a role change at each shift of a
// load that alternates slowly between long prompts and long answers.
func TestAlternatingLoadCausesFewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := byrole.New(burdockyard.SystemClock{})
		prefillEngines, decodeEngines, changes := 4, 10, 0
		for i := range 3600 {
			time.Sleep(time.Second)
			s := byrole.Sample{Prefill: byrole.Pool{Engines: prefillEngines, Wait: ms(600)}, Decode: byrole.Pool{Engines: decodeEngines, Wait: ms(20)}, Downtime: downtime}
			if i/20%2 == 1 {
				s.Prefill.Wait, s.Decode.Wait = ms(10), ms(400)
			}
			d.Observe(s)
			role, ok := d.WantedRole()
			if !ok {
				continue
			}
			d.RecordOrder(role)
			changes++
			if role == burdockyard.RolePrefill {
				prefillEngines, decodeEngines = prefillEngines+1, decodeEngines-1
			} else {
				prefillEngines, decodeEngines = prefillEngines-1, decodeEngines+1
			}
		}
		if changes > 12 {
			t.Errorf("%d changes in an hour of a load that swings every 20 s, want at most 12", changes)
		}
	})
}

// TestCooldownAfterAnotherNodesChange guards against an early change by a node that
// takes over: its decider must take into account the changes that it observed.
func TestCooldownAfterAnotherNodesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := byrole.New(burdockyard.SystemClock{})
		prefill := byrole.Pool{Engines: 4, Wait: ms(600)}
		observe(d, 8*time.Second, prefill, byrole.Pool{Engines: 10})
		prefill.Engines = 5
		if got := observe(d, 15*time.Second, prefill, byrole.Pool{Engines: 9}); got != "" {
			t.Errorf("role %q wanted 15 s after another node's change, want none", got)
		}
		if got := observe(d, 20*time.Second, prefill, byrole.Pool{Engines: 9}); got != burdockyard.RolePrefill {
			t.Errorf("role %q wanted 35 s after another node's change, want prefill as the shortage persists", got)
		}
	})
}
