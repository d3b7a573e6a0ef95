package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["retries"] = playRetries }

const (
	retriesPerS   = 40 // requests a second, from all clients together
	retriesTime   = 24 * time.Second
	fullAfter     = 12 * time.Second // when the runners are full
	killAllAfter  = 4 * time.Second  // from then on
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetSlack   = 54
	retriesBeside = 50 * time.Millisecond // between two windows that are judged
)

// playRetries has all runners refuse requests, as full ones do. In the disruption, all nodes are
// killed meanwhile and start again.
func playRetries(d *deployment, trouble bool) (verdict, error) {
	d.store.Set("op", "config", lapseConfig())
	var stubs []*plainRunner
	for i := range 4 {
		stub := &plainRunner{
			id: fmt.Sprint("app-", i), workTime: 20 * time.Millisecond, born: time.Now().UnixMilli(),
			askedFor: map[string]time.Time{}, told: map[string]time.Time{},
		}
		addr, err := d.serve(stub)
		if err != nil {
			return verdict{}, err
		}
		d.addRunner(stub.id, stub.entry(addr))
		stubs = append(stubs, stub)
	}
	for i := range 7 {
		if err := d.addNode(fmt.Sprint("n", i), string(rune('a'+i%3)), 0.4); err != nil {
			return verdict{}, err
		}
	}
	if err := d.waitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow)
	var mu sync.Mutex
	var sent []time.Time
	var group sync.WaitGroup
	start := time.Now()
	for i := range retriesPerS {
		group.Go(func() {
			for j := 0; time.Since(start) < retriesTime; j++ {
				time.Sleep(900*time.Millisecond + rand.N(200*time.Millisecond))
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
				_, _ = callOnce(d.nodes[rand.IntN(len(d.nodes))], "/read/x", fmt.Sprintf("q%d-%d", i, j)) // sent, whether it arrives or not
			}
		})
	}
	time.Sleep(fullAfter)
	for _, s := range stubs {
		s.turnAway.Store(true)
	}
	d.rec.add("all runners refuse requests")
	time.Sleep(killAllAfter)
	if trouble {
		for _, n := range d.nodes {
			n.signal(syscall.SIGKILL)
		}
		d.rec.add("all nodes are killed")
		for _, n := range d.nodes {
			<-n.exited()
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range d.nodes {
			if err := d.startNode(n); err != nil {
				return verdict{}, err
			}
		}
	}
	group.Wait()
	seen := map[string]bool{}
	var extra []time.Time
	for _, s := range stubs {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if seen[a.id] {
				extra = append(extra, a.at)
			}
			seen[a.id] = true
		}
		s.mu.Unlock()
	}
	worst, text := 0.0, ""
	for from := start; time.Since(from) > 0; from = from.Add(retriesBeside) {
		requests := max(countIn(sent, from), countIn(sent, from.Add(-budgetWindow)), countIn(sent, from.Add(-budgetWindow/2)))
		allowed := budgetRatio*float64(requests) + budgetSlack
		if arrivals := countIn(extra, from); text == "" || float64(arrivals)-allowed > worst {
			worst = float64(arrivals) - allowed
			text = fmt.Sprintf("%d extra arrivals in %v for %d requests (allowed: %.0f)", arrivals, budgetWindow, requests, allowed)
		}
	}
	return verdict{broken: worst > 0, summary: "retries: " + text}, nil
}

// countIn returns how many of the times are in the window that begins at from.
func countIn(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if in := t.Sub(from); in >= 0 && in < budgetWindow {
			n++
		}
	}
	return n
}
