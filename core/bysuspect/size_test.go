package bysuspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/byquarantine"
	"burdockyard/core/bysuspect"
)

// BenchmarkLook measures what a node does several times a second while it is cut off from all
// endpoints of a large fleet, and requests to many of them have broken off.
func BenchmarkLook(b *testing.B) {
	const endpoints, suspicions = 2999, 256
	clock := burdockyard.SystemClock{}
	fleet := byfleet.New(clock)
	var instances []burdockyard.Instance
	for i := range endpoints {
		instances = append(instances, burdockyard.Instance{ID: burdockyard.EndpointID(fmt.Sprint("i-", i)), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Service: "app", BornMS: 1})
	}
	fleet.Apply(instances, nil, time.Now())
	r := bysuspect.New(clock, "n1", fleet)
	for i := range suspicions {
		s := bysuspect.Suspicion{Process: bysuspect.ProcessOf(instances[i]), End: byquarantine.End{Request: uint64(i), Endpoint: uint64(i), Keys: []byquarantine.Key{7}}}
		for range 3 {
			s.Refused = append(s.Refused, bysuspect.ProcessOf(instances[rand.IntN(endpoints)]))
		}
		r.Add(s)
	}
	for b.Loop() {
		for _, p := range r.Probes(8, rand.Shuffle) {
			r.RecordRefused(p)
		}
		if settled := r.Settle(); len(settled) > 0 {
			b.Fatalf("%d suspicions are settled, want none", len(settled))
		}
		r.Ends()
		r.News()
	}
}
