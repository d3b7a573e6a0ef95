package bydrill

import (
	"time"

	"burdockyard"
	"burdockyard/core/bylimit"
)

// LimitReport is what came of a drill in which one endpoint names a limit.
type LimitReport struct {
	Most int     // largest number of requests in 4 s, from nodes that were told of the limit half a second before
	Mean float64 // requests per second, without the first seconds
}

const (
	limitedEndpoint burdockyard.EndpointID = "e1"
	limitedBornMS                          = 7
	limitWindow                            = 4 * time.Second
	limitDrillTime                         = 16 * time.Second
	limitNewsTime                          = 500 * time.Millisecond
	responseTime                           = 50 * time.Millisecond
)

type limitNode struct {
	*bylimit.Limits
	link
	index           int
	killed, leaving bool
	told            time.Time // when it first passed on a response with the limit
}

type limitDrill struct {
	*world
	nodes   []*limitNode
	limit   burdockyard.RateLimit
	all     []time.Time // requests that have reached the endpoint
	counted []time.Time // those from nodes that count
}

// PlayLimit plays 16 s in which an endpoint names a limit of requests per second.
func PlayLimit(cfg Config, perSecond float64) LimitReport {
	d := &limitDrill{world: newWorld(cfg.Seed)}
	interval, delay := newsTimes(cfg.Nodes)
	for i := range cfg.Nodes {
		n := &limitNode{Limits: bylimit.New(d, nodeID(i)), index: i}
		d.nodes = append(d.nodes, n)
		d.after(time.Duration(d.rng.Int64N(int64(interval))), func() { d.every(interval, func() { d.gossip(n, delay) }) })
	}
	pressure := 60 + 4*cfg.Nodes
	d.every(time.Second/time.Duration(pressure), d.send)
	d.run(2 * time.Second)
	d.limit = burdockyard.RateLimit{Named: true, PerSecond: perSecond}
	d.startFault(cfg)
	start := d.now
	d.run(limitDrillTime)
	rep := LimitReport{Most: MostInWindow(d.counted, limitWindow)}
	used := 0
	for _, at := range d.all {
		if at.After(start.Add(limitWindow)) {
			used++
		}
	}
	rep.Mean = float64(used) / (limitDrillTime - limitWindow).Seconds()
	return rep
}

func (d *limitDrill) startFault(cfg Config) {
	round := 0
	switch cfg.Fault {
	case Kills:
		d.after(5*time.Second, func() {
			for i := range cfg.Nodes / 3 {
				d.nodes[i].killed = true
			}
		})
	case Deaf:
		for i, n := range d.nodes {
			n.deaf = i%2 == 0
		}
	case Restarts:
		d.every(time.Second, func() {
			round++
			n := d.nodes[round%cfg.Nodes]
			n.Limits, n.told, n.excused = bylimit.New(d, nodeID(n.index)), time.Time{}, d.now.Add(stableWindow)
		})
	case Departures:
		d.every(time.Second, func() {
			round++
			d.nodes[round/4%cfg.Nodes].leaving = round%4 < 2
		})
	}
}

// gossip updates a node's members and sends what it has to tell to all others.
func (d *limitDrill) gossip(n *limitNode, delay time.Duration) {
	var others []burdockyard.NodeID
	for _, other := range d.nodes {
		if other != n && !other.leaving {
			others = append(others, nodeID(other.index)) // nodes that were killed of late count too
		}
	}
	n.SetMembers(others, n.leaving)
	statements := bylimit.Aged(n.Statements(), delay)
	if len(statements) == 0 || n.mute || n.killed {
		return
	}
	d.after(delay, func() {
		for _, to := range d.nodes {
			if to != n && !to.deaf && !to.killed && d.rng.Float64() >= lossRate {
				to.Merge(statements, func(burdockyard.EndpointID) (int64, bool) { return limitedBornMS, true })
			}
		}
	})
}

// send sends one request through a random node, if the node may.
func (d *limitDrill) send() {
	n := d.nodes[d.rng.IntN(len(d.nodes))]
	if n.killed || !n.TryTake(limitedEndpoint, limitedBornMS) {
		return
	}
	d.all = append(d.all, d.now)
	if !n.told.IsZero() && d.now.After(n.told.Add(limitNewsTime)) && d.now.After(n.excused) {
		d.counted = append(d.counted, d.now)
	}
	limit, sentAt := d.limit, d.now
	d.after(responseTime, func() {
		n.Observe(limitedEndpoint, limitedBornMS, limit, sentAt)
		if limit.Named && n.told.IsZero() {
			n.told = d.now
		}
	})
}

// MostInWindow returns the largest number of the times, which are sorted, that lie within
// any span of the given length.
func MostInWindow(times []time.Time, window time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for times[from].Before(at.Add(-window)) {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
