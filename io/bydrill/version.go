package bydrill

import (
	"fmt"
	"slices"
	"time"

	"burdockyard"
	"burdockyard/core/byversion"
)

// VersionFaults returns all faults of PlayVersions.
func VersionFaults() []Fault { return append(Faults(), KillOfAll, StoreAway, StoreRestored) }

// VersionReport is what came of a drill in which the endpoints of a service are replaced by
// those of other software versions.
type VersionReport struct {
	Joined    int           // streams that went on at another version
	TakeUps   int           // streams that callers took up at nodes that count, while two endpoints of the version served
	GoneOn    int           // those of them that went on
	New       int           // streams that callers began at nodes that count, while two endpoints of one version served
	Begun     int           // those of them whose callers got an event
	Held      int           // those of them whose callers got all events together at the end
	Writes    int           // calls to write to the store
	Versions  int           // versions that were released
	ShareWait time.Duration // longest time until a released version got half of its share of the streams
}

const (
	versionService     = "llm"
	versionedEndpoints = 10
	versionDrillTime   = 60 * time.Second
	// readInterval is how often one node of each failure domain reads the store for the
	// others. A node whose last reading is older than readPatience reads by itself, and one
	// whose last reading is older than maxReadingAge may not begin streams.
	readInterval  = 500 * time.Millisecond
	readPatience  = 1100 * time.Millisecond
	maxReadingAge = 2 * time.Second
	storeTime     = 4 * time.Millisecond // of a call, one way
	domains       = 3
	proposers     = 3 // nodes that propose records
	// streamLifetime is how long after the first event callers take a stream up.
	streamLifetime = 5 * time.Second
	shareWindow    = 500 * time.Millisecond
	// breakRate is the share of the responses whose callers lose the connection.
	breakRate       = 0.1
	announceTime    = time.Second
	versionDownTime = time.Second
)

// storeRow is the row of the record in the store.
type storeRow struct {
	record  byversion.Record
	exists  bool
	version int // changes with each write
	era     uint64
}

// versionEndpoint is one life of an endpoint.
type versionEndpoint struct {
	version    string
	readySince time.Time
	leaving    bool // whether it accepts no new streams
	ended      bool
	lives      int // rises with each crash
	downUntil  time.Time
}

// versionNode is a node. It knows the store and the endpoints as it read them last.
type versionNode struct {
	*byversion.Table
	link
	index     int
	lives     int // rises with each kill
	read      storeRow
	readAt    time.Time // when its last reading was requested, as far as it knows
	heardAt   time.Time // when it last heard its peers
	endpoints []*versionEndpoint
}

// versionStream is a stream of a caller.
type versionStream struct {
	id      burdockyard.RequestID
	version string
	began   time.Time // when its caller got the first event
	rest    time.Duration
}

type versionDrill struct {
	*world
	cfg       Config
	nodes     []*versionNode
	endpoints []*versionEndpoint
	row       storeRow
	away      bool
	calmFrom  time.Time // when the store counts as undisturbed again
	streams   int
	released  int
	waiting   map[string]time.Time // versions without their share of streams, and since when they serve
	recent    map[string]int       // streams of the last window by version
	rep       VersionReport
}

// PlayVersions plays a minute in which half or all of the endpoints are replaced several
// times by those of another version.
func PlayVersions(cfg Config) VersionReport {
	d := &versionDrill{world: newWorld(cfg.Seed), cfg: cfg, row: storeRow{era: 1}, waiting: map[string]time.Time{}, recent: map[string]int{}}
	for range versionedEndpoints {
		d.startEndpoint()
	}
	for i := range cfg.Nodes {
		n := &versionNode{index: i}
		d.nodes = append(d.nodes, n)
		d.startNode(n, byversion.WithFirstStart())
		n.excused = time.Time{}
	}
	_, delay := newsTimes(cfg.Nodes)
	for domain := range domains {
		d.after(time.Duration(d.rng.Int64N(int64(readInterval))), func() { d.every(readInterval, func() { d.readForDomain(domain, delay) }) })
	}
	for _, n := range d.nodes {
		d.after(time.Duration(d.rng.Int64N(int64(directInterval))), func() { d.every(directInterval, func() { d.readIfOld(n) }) })
		if n.index < proposers {
			d.after(time.Duration(d.rng.Int64N(int64(directInterval))), func() { d.every(directInterval, func() { d.propose(n) }) })
		}
	}
	interval, _ := newsTimes(cfg.Nodes)
	d.every(interval, func() { d.tellNumbers(delay) })
	d.run(6 * time.Second)
	d.every(time.Second/soundPerSecond, d.begin)
	d.run(4 * time.Second)
	d.every(shareWindow, d.countShares)
	d.startReleases()
	d.startFault()
	d.run(versionDrillTime)
	return d.rep
}

// startEndpoint adds an endpoint of the latest version.
func (d *versionDrill) startEndpoint() {
	d.endpoints = append(d.endpoints, &versionEndpoint{version: fmt.Sprint("v", d.released), readySince: d.now})
}

// startNode gives a node a new process, which reads the store by itself.
func (d *versionDrill) startNode(n *versionNode, opts ...byversion.Option) {
	hearsPeers := func() bool { return d.now.Sub(n.heardAt) <= maxReadingAge }
	n.Table = byversion.New(d, func() time.Duration { return maxReadingAge }, append(opts, byversion.WithPeers(hearsPeers))...)
	n.lives++
	n.read, n.readAt, n.endpoints = storeRow{}, time.Time{}, nil
	n.excused = d.now.Add(stableWindow)
	d.readByItself(n)
}

// startReleases makes new versions replace half or all of the endpoints, one by one or
// together.
func (d *versionDrill) startReleases() {
	for i, at := range []time.Duration{time.Second, 14 * time.Second, 30 * time.Second, 36 * time.Second, 48 * time.Second} {
		d.after(at, func() {
			d.released++
			d.rep.Versions++
			d.waiting[fmt.Sprint("v", d.released)] = d.now
			old := slices.DeleteFunc(slices.Clone(d.endpoints), func(e *versionEndpoint) bool { return e.leaving || e.ended })
			if (uint64(i)+d.cfg.Seed)%2 == 0 {
				old = old[:len(old)/2]
			}
			step := time.Duration(i%2) * 400 * time.Millisecond
			version := d.released
			for j, e := range old {
				d.after(time.Duration(j)*step, func() {
					d.endpoints = append(d.endpoints, &versionEndpoint{version: fmt.Sprint("v", version), readySince: d.now})
					d.after(announceTime, func() { e.leaving = true })
					d.after(announceTime+2*time.Second, func() { e.ended = true })
				})
			}
		})
	}
}

// startFault starts the fault of the drill's Config.
func (d *versionDrill) startFault() {
	round := 0
	switch d.cfg.Fault {
	case Kills:
		d.after(5*time.Second, func() {
			d.nodes = d.nodes[d.cfg.Nodes/3:]
			for _, n := range d.nodes[:proposers] {
				d.every(directInterval, func() { d.propose(n) })
			}
		})
	case Deaf:
		d.nodes[0].deaf, d.nodes[1].mute = true, true
		d.nodes[len(d.nodes)-1].deaf, d.nodes[len(d.nodes)-2].mute = true, true
	case Restarts:
		d.every(time.Second, func() {
			round++
			d.startNode(d.nodes[round%len(d.nodes)])
		})
	case Ends:
		d.every(1500*time.Millisecond, func() {
			for range 1 + d.rng.IntN(4) {
				e := d.endpoints[d.rng.IntN(len(d.endpoints))]
				e.lives++
				e.downUntil = d.now.Add(versionDownTime)
			}
		})
	case KillOfAll:
		for _, at := range []time.Duration{2 * time.Second, 6 * time.Second, 7 * time.Second, 15 * time.Second, 17 * time.Second, 31 * time.Second, 38 * time.Second, 50 * time.Second} {
			d.after(at, d.killAll)
		}
	case StoreAway:
		for _, at := range []time.Duration{1500 * time.Millisecond, 13 * time.Second, 31 * time.Second, 48 * time.Second} {
			d.after(at, func() { d.away = true })
			d.after(at+time.Second, func() {
				if d.rng.IntN(2) == 0 {
					d.killAll()
				}
			})
			d.after(at+4*time.Second, func() { d.away, d.calmFrom = false, d.now.Add(stableWindow) })
		}
	case StoreRestored:
		for _, at := range []time.Duration{0, 15 * time.Second, 29 * time.Second, 46 * time.Second} {
			d.after(at, func() {
				copied := d.row
				d.after(restoredTime, func() { d.restore(copied) })
			})
		}
	}
}

// restore puts an older copy of the row in its place. All nodes may be killed in the same
// moment or somewhat later.
func (d *versionDrill) restore(copied storeRow) {
	copied.era = d.row.era + 1
	d.row, d.calmFrom = copied, d.now.Add(stableWindow)
	switch d.rng.IntN(3) {
	case 0:
		d.killAll()
	case 1:
		d.after(time.Duration(d.rng.IntN(2000))*time.Millisecond, d.killAll)
	}
}

// killAll kills all nodes, which start again.
func (d *versionDrill) killAll() {
	for _, n := range d.nodes {
		d.startNode(n)
	}
}

// readByItself makes a node read the store, again and again until it answers.
func (d *versionDrill) readByItself(n *versionNode) {
	requestedAt, life := d.now, n.lives
	d.after(storeTime, func() {
		if d.away {
			d.after(loadRetryTime, func() {
				if n.lives == life {
					d.readByItself(n)
				}
			})
			return
		}
		row, endpoints := d.row, slices.Clone(d.endpoints)
		d.after(storeTime, func() {
			if n.lives == life {
				d.apply(n, row, endpoints, requestedAt)
			}
		})
	})
}

// apply applies a reading at a node, unless it has a newer one.
func (d *versionDrill) apply(n *versionNode, row storeRow, endpoints []*versionEndpoint, requestedAt time.Time) {
	if requestedAt.Before(n.readAt) || row.era < n.read.era {
		return
	}
	n.read, n.readAt, n.endpoints = row, requestedAt, endpoints
	n.Apply(row.record, row.exists, row.era, requestedAt)
}

// readForDomain makes the first node of a failure domain that is heard read the store for
// all others. What it relays looks younger than it is by the time on the way.
func (d *versionDrill) readForDomain(domain int, delay time.Duration) {
	var reader *versionNode
	for _, n := range d.nodes {
		if n.index%domains == domain && !n.mute {
			reader = n
			break
		}
	}
	if d.away || reader == nil {
		return
	}
	requestedAt := d.now
	d.after(storeTime, func() {
		row, endpoints := d.row, slices.Clone(d.endpoints)
		d.after(storeTime, func() {
			d.apply(reader, row, endpoints, requestedAt)
			d.after(delay, func() {
				for _, n := range d.nodes {
					if n != reader && n.index%domains == domain && !n.deaf && d.rng.Float64() >= lossRate {
						d.apply(n, row, endpoints, requestedAt.Add(delay))
					}
				}
			})
		})
	})
}

// readIfOld makes a node read the store by itself if its last reading is old.
func (d *versionDrill) readIfOld(n *versionNode) {
	if age := d.now.Sub(n.readAt); !d.away && !n.readAt.IsZero() && age > readPatience {
		d.readByItself(n)
	}
}

// tellStarts tells nodes of streams that others have begun.
func (d *versionDrill) tellStarts(delay time.Duration) {
	for _, n := range d.nodes {
		n.ForgetStarts(streamLifetime)
		news := n.News()
		if n.mute || len(news) == 0 {
			continue
		}
		d.after(delay, func() {
			for _, other := range d.nodes {
				if !other.deaf && d.rng.Float64() >= lossRate {
					other.Merge(news)
				}
			}
		})
	}
}

// tellNumbers tells nodes the newest record that a node knows which is heard.
func (d *versionDrill) tellNumbers(delay time.Duration) {
	d.tellStarts(delay)
	var era, seq uint64
	for _, n := range d.nodes {
		if e, s := n.Number(); !n.mute && (e > era || e == era && s > seq) {
			era, seq = e, s
		}
	}
	d.after(delay, func() {
		for _, n := range d.nodes {
			if !n.deaf && d.rng.Float64() >= lossRate {
				n.Hear(era, seq)
				n.heardAt = d.now
			}
		}
	})
}

// propose makes a node write the record that it proposes, if the row is as it read it. Some
// answers are lost.
func (d *versionDrill) propose(n *versionNode) {
	capacity := map[string]int{}
	for _, e := range n.endpoints {
		if !e.leaving && !e.ended {
			capacity[e.version]++
		}
	}
	next, ok := n.Propose(map[string]map[string]int{versionService: capacity}, map[string]time.Duration{versionService: streamLifetime})
	if !ok {
		return
	}
	d.rep.Writes++
	requestedAt, life, read := d.now, n.lives, n.read
	d.after(storeTime, func() {
		if d.away || d.row.version != read.version || d.row.era != read.era {
			return
		}
		d.row = storeRow{record: next, exists: true, version: d.row.version + 1, era: d.row.era}
		row := d.row
		if d.rng.Float64() < lossRate {
			return
		}
		d.after(storeTime, func() {
			if n.lives == life {
				d.apply(n, row, n.endpoints, requestedAt)
			}
		})
	})
}

// isUp reports whether the endpoint accepts requests.
func (d *versionDrill) isUp(e *versionEndpoint) bool {
	return !e.ended && !e.leaving && !d.now.Before(e.downUntil)
}

// choose returns a random endpoint that a node knows and that is up, of the given version,
// or of any if that is empty. It returns nil if there is none.
func (d *versionDrill) choose(n *versionNode, version string) *versionEndpoint {
	var up []*versionEndpoint
	for _, e := range n.endpoints {
		if d.isUp(e) && (version == "" || e.version == version) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[d.rng.IntN(len(up))]
}

// serving returns how many endpoints of a version nodes have had the time to know.
func (d *versionDrill) serving(version string) int {
	count := 0
	for _, e := range d.endpoints {
		if d.isUp(e) && e.version == version && d.now.Sub(e.readySince) >= stableWindow && d.now.Sub(e.downUntil) >= stableWindow {
			count++
		}
	}
	return count
}

// counts reports whether a node is in touch with the store and the others.
func (d *versionDrill) counts(n *versionNode) bool {
	return !n.deaf && !n.mute && !d.away && !d.now.Before(n.excused) && !d.now.Before(d.calmFrom)
}

// begin makes a caller send a new stream to a random node.
func (d *versionDrill) begin() {
	n := d.nodes[d.rng.IntN(len(d.nodes))]
	d.streams++
	s := &versionStream{id: burdockyard.RequestID(fmt.Sprint("stream-", d.streams)), rest: time.Duration(200+d.rng.IntN(1500)) * time.Millisecond}
	counts := d.counts(n) && slices.ContainsFunc(d.endpoints, func(e *versionEndpoint) bool { return d.serving(e.version) >= 2 })
	if counts {
		d.rep.New++
	}
	version, _ := n.Preferred(versionService, s.id)
	e := d.choose(n, version)
	if e == nil {
		e = d.choose(n, "")
	}
	if e == nil {
		return
	}
	s.version = e.version
	d.recent[s.version]++
	nodeLife, endpointLife := n.lives, e.lives
	d.after(startTime, func() {
		isBroken := func() bool { return n.lives != nodeLife || e.lives != endpointLife || e.ended }
		gotEvent := func() {
			if counts {
				d.rep.Begun++
			}
		}
		switch {
		case isBroken():
		case n.MayBegin(versionService, s.id, s.version):
			gotEvent()
			s.began = d.now
			n.RecordStart(versionService, s.id, s.version)
			d.stream(s, n, e)
		default:
			if counts {
				d.rep.Held++
			}
			d.after(s.rest, func() {
				if !isBroken() {
					gotEvent()
				}
			})
		}
	})
}

// stream lets a stream run at an endpoint until its end, or until it breaks off.
func (d *versionDrill) stream(s *versionStream, n *versionNode, e *versionEndpoint) {
	const step = 50 * time.Millisecond
	nodeLife, endpointLife := n.lives, e.lives
	breaksAfter := s.rest
	if d.rng.Float64() < breakRate {
		breaksAfter = time.Duration(d.rng.Int64N(int64(s.rest)))
	}
	var goOn func()
	goOn = func() {
		s.rest -= step
		breaksAfter -= step
		switch {
		case s.rest <= 0:
		case n.lives != nodeLife || breaksAfter <= 0:
			d.after(step, func() { d.takeUp(s) })
		case e.lives != endpointLife || e.ended:
			if other := d.choose(n, s.version); other != nil {
				d.stream(s, n, other)
				return
			}
			d.after(step, func() { d.takeUp(s) })
		default:
			d.after(step, goOn)
		}
	}
	d.after(step, goOn)
}

// takeUp makes a caller take up its stream at a random node.
func (d *versionDrill) takeUp(s *versionStream) {
	if d.now.Sub(s.began) > streamLifetime {
		return
	}
	n := d.nodes[d.rng.IntN(len(d.nodes))]
	counts := d.counts(n) && d.serving(s.version) >= 2
	if counts {
		d.rep.TakeUps++
	}
	version, err := n.VersionOf(versionService, s.id)
	if err != nil {
		return // the caller begins anew
	}
	e := d.choose(n, version)
	if e == nil {
		return
	}
	if version != s.version {
		d.rep.Joined++
		return
	}
	if counts {
		d.rep.GoneOn++
	}
	d.stream(s, n, e)
}

// countShares finds the versions that got their share of the streams of the last window.
func (d *versionDrill) countShares() {
	total, ready := 0, map[string]int{}
	for _, e := range d.endpoints {
		if d.isUp(e) {
			total++
			ready[e.version]++
		}
	}
	all := 0
	for _, n := range d.recent {
		all += n
	}
	for version, since := range d.waiting {
		if ready[version] > 0 && 2*d.recent[version]*total >= all*ready[version] {
			d.rep.ShareWait = max(d.rep.ShareWait, d.now.Sub(since))
			delete(d.waiting, version)
		}
	}
	clear(d.recent)
}
