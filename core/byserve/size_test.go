package byserve_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byadmit"
	"burdockyard/core/bymanifest"
	"burdockyard/core/byroute"
	"burdockyard/core/byserve"
)

// fleetSizes holds the present size, an intermediate one, and the size that the
// system is required to handle.
var fleetSizes = []struct{ engines, tenants, nodes int }{{14, 1, 8}, {300, 500, 30}, {3800, 6000, 330}}

func newManifest(engines, tenants int) *bymanifest.Manifest {
	s := bymanifest.Spec{
		Name:    "size",
		Models:  []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32, MaxPrompt: 131072}},
		Classes: []bymanifest.ClassSpec{{Name: "c", FirstToken: time.Second, Deadline: time.Minute, MaxQueued: 1000}},
	}
	for i := range engines {
		s.Engines = append(s.Engines, bymanifest.EngineSpec{
			Name: fmt.Sprintf("engine-%04d", i), Address: "10.0.0.1:9000", Model: "m", Domain: "a", Role: "mixed", EnforcesFencing: true,
		})
	}
	for i := range tenants {
		s.Tenants = append(s.Tenants, bymanifest.TenantSpec{Name: fmt.Sprintf("tenant-%04d", i), Weight: 1})
	}
	return bymanifest.New(s, 1)
}

// BenchmarkStart measures queuing, starting and ending one call.
func BenchmarkStart(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d,tenants=%d", size.engines, size.tenants), func(b *testing.B) {
			m := newManifest(size.engines, size.tenants)
			router := byroute.New(byroute.WithRand(rand.New(rand.NewPCG(1, 1))))
			d := byserve.NewDispatcher[int](router, func() *bymanifest.Manifest { return m }, func() bool { return true })
			d.Update(nil, byroute.NodePosition{Nodes: size.nodes}, time.Now())
			class, _ := m.Class("")
			work := byroute.Work{PromptTokens: 300, OutputTokens: 80}
			model := m.Engines()[0].Model()
			now := time.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tenant := m.Spec().Tenants[i%size.tenants]
				call := byserve.AdmissionCall(model, class, burdockyard.Tenant(tenant.Name), 1, work, now)
				if _, refusal := d.Offer(byserve.PendingCall[int]{Model: "m", Call: call, Work: work}, now); refusal != nil {
					b.Fatal(refusal.Cause())
				}
				for _, started := range d.StartReady("m", now) {
					started.InFlight.RecordToken(now)
					started.InFlight.End()
				}
			}
		})
	}
}

// BenchmarkRefuse measures a refusal while many tenants have one waiting call each.
func BenchmarkRefuse(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := byadmit.New[int]()
			now := time.Now()
			call := func(tenant int) byadmit.Call {
				return byadmit.Call{Tenant: burdockyard.Tenant(fmt.Sprint(tenant)), Weight: 1, Class: "c", MaxQueued: 10_000, Cost: time.Second, StartBy: now.Add(time.Hour)}
			}
			for i := range waiting {
				if _, refusal := q.Offer(call(i), 0, now); refusal != nil {
					b.Fatal(refusal.Cause())
				}
			}
			late := call(0)
			late.StartBy = now
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := q.Offer(late, 0, now); refusal == nil {
					b.Fatal("taken")
				}
			}
		})
	}
}
