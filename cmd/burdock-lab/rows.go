package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byadmit"
	"burdockyard/core/bybooking"
	"burdockyard/core/bylease"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byorder"
	"burdockyard/core/byroute"
	"burdockyard/core/byserve"
	"burdockyard/io/bymem"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bypeer"
)

const (
	nodeMemoryLimit    = 32 << 20 // bytes per node
	nodeTrafficLimit   = 4 << 10  // bytes per second and node
	nodeCPULimit       = 33       // CPU milliseconds per second and node
	platformWriteLimit = 300      // per second on the whole platform
	platformReadLimit  = 2000     // per second on the whole platform
	nsPerMs            = 1e6
	loadsPerNode       = 60 // engines on which one node has open calls
)

func capacityRows() []capacityRow {
	perNode := targetRequestRate / targetNodes
	return []capacityRow{
		{"heartbeat to one peer", "loads", "bytes", []int{0, 30, 300}, heartbeatBytes, loadsPerNode, 1, "bytes", 0},
		{"heartbeats to and from every peer, 60 loads", "peers", "bytes/s", []int{8, 64, 330}, heartbeatTraffic, targetNodes, 1, "bytes/s a node", nodeTrafficLimit},
		{"membership view", "peers", "bytes", []int{10, 100, 330}, viewBytes, targetNodes, 1, "bytes a node", nodeMemoryLimit},
		{"heartbeat round: hear all, add loads up", "peers", "ns", []int{10, 100, 330}, heartbeatRoundNs, targetNodes, 1 / bymember.HeartbeatInterval.Seconds() / nsPerMs, "ms/s a node", nodeCPULimit},
		{"manifest in force", "engines", "bytes", []int{14, 300, 3800}, manifestBytes(0), targetEngines, 1, "bytes a node", nodeMemoryLimit},
		{"manifest in force, 14 engines", "tenants", "bytes", []int{10, 500, 6000}, manifestTenantBytes, targetTenants, 1, "bytes a node", nodeMemoryLimit},
		{"taking a manifest into force", "engines", "ns", []int{14, 300, 3800}, manifestLoadNs, targetEngines, targetManifestChangeRate / nsPerMs, "ms/s a node", nodeCPULimit},
		{"engines section, fetched when it changes", "engines", "bytes", []int{14, 300, 3800}, sectionBytes, targetEngines, targetManifestChangeRate, "bytes/s a node", nodeTrafficLimit},
		{"a call from offer to start", "engines", "ns", []int{14, 300, 3800}, callStartNs, targetEngines, perNode / nsPerMs, "ms/s a node", nodeCPULimit},
		{"a refusal", "waiting calls", "ns", []int{10, 100, 1000}, refusalNs, 100, perNode / nsPerMs, "ms/s a node", nodeCPULimit},
		{"prefix index", "prefixes", "bytes", []int{1000, 5000, 20000}, prefixBytes, 20000, 1, "bytes a node", nodeMemoryLimit},
		{"histograms of a tenant and class", "tenants", "bytes", []int{10, 100, 1000}, metricsBytes, targetTenants, 1, "bytes a node", nodeMemoryLimit},
		{"lease writes, holder and one watcher", "shards", "writes/s", []int{1, 10, 100}, leaseWrites, targetShards, 1, "writes/s in all", platformWriteLimit},
		{"lease reads, holder and one watcher", "shards", "reads/s", []int{1, 10, 100}, leaseReads, targetShards, 1, "reads/s in all", platformReadLimit},
		{"reads of idle engines' rows", "engines", "reads/s", []int{3, 30, 300}, idleOrderReads, targetEngines, 1, "reads/s in all", platformReadLimit},
		{"writes of orders, one for each engine", "engines", "writes", []int{3, 30, 300}, orderWrites, targetEngines, 1.0 / platformWriteLimit, "s to order every engine", 0},
		{"writes of bookings", "bookings", "writes", []int{10, 100, 1000}, bookingWrites, targetRequestRate, 1, "writes/s if every request were one", platformWriteLimit},
		{"reads of manifest/current", "nodes", "reads/s", []int{1, 10, 100}, manifestReads, targetNodes, 1, "reads/s in all", platformReadLimit},
	}
}

func heartbeat(node, loads int) bymember.Heartbeat {
	h := bymember.Heartbeat{
		Member:     burdockyard.Member{Node: burdockyard.NodeID(fmt.Sprintf("node-%03d", node)), Incarnation: burdockyard.NewIncarnation(), Addr: "10.0.0.1:9100"},
		CallerAddr: "10.0.0.1:8080", Domain: "north-a", Generation: 4800, RecentlyConfirmed: true, Seq: 100_000,
	}
	for i := range loads {
		h.Loads = append(h.Loads, bymember.Load{Engine: engineID(i), PrefillTokens: 3000, LongPromptTokens: 1000, Streams: 3})
	}
	return h
}

func engineID(i int) burdockyard.EndpointID {
	return burdockyard.EndpointID(fmt.Sprintf("engine-%04d", i))
}

func heartbeatBytes(loads int) float64 { return float64(bypeer.HeartbeatSize(heartbeat(1, loads))) }

// heartbeatTraffic returns the bytes per second of one node. Each node and each of
// its peers sends a heartbeat and gets a response per interval, which makes four
// messages for each peer.
func heartbeatTraffic(peers int) float64 {
	const messagesPerPeer = 4
	return float64(peers) * messagesPerPeer * heartbeatBytes(loadsPerNode) / bymember.HeartbeatInterval.Seconds()
}

func newView(peers int) *bymember.View {
	v := bymember.New(burdockyard.SystemClock{}, burdockyard.Member{Node: "self"})
	for i := range peers {
		v.RecordHeartbeat(heartbeat(i, loadsPerNode))
	}
	return v
}

func viewBytes(peers int) float64 { return heapBytes(func() *bymember.View { return newView(peers) }) }

func heartbeatRoundNs(peers int) float64 {
	v := newView(peers)
	heartbeats := make([]bymember.Heartbeat, peers)
	for i := range heartbeats {
		heartbeats[i] = heartbeat(i, loadsPerNode)
	}
	return nsPerOp(func() {
		for _, h := range heartbeats {
			v.RecordHeartbeat(h)
		}
		v.PeerLoads()
	})
}

// nsPerOp returns the nanoseconds that f takes, as a benchmark measures them.
func nsPerOp(f func()) float64 {
	return float64(testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	}).NsPerOp())
}

func newSpec(engines, tenants int) bymanifest.Spec {
	s := bymanifest.Spec{
		Name:    "size",
		Models:  []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 2400, MaxStreams: 32, MaxPrompt: 131072}},
		Classes: []bymanifest.ClassSpec{{Name: "c", FirstToken: time.Second, Deadline: time.Minute, MaxQueued: 1000}},
	}
	for i := range engines {
		s.Engines = append(s.Engines, bymanifest.EngineSpec{
			Name: string(engineID(i)), Address: fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250), Model: "m", Domain: "north-a", Role: "mixed", EnforcesFencing: true,
		})
	}
	for i := range max(tenants, 1) {
		s.Tenants = append(s.Tenants, bymanifest.TenantSpec{Name: fmt.Sprintf("tenant-%04d", i), Weight: 1})
	}
	return s
}

// publishSpec returns a table and an object store that hold a published spec.
func publishSpec(spec bymanifest.Spec) (burdockyard.Table, burdockyard.ObjectStore) {
	t, o := bymem.NewTable(), bymem.NewObjectStore()
	if _, err := bymanifest.Publish(context.Background(), t, o, spec, 0); err != nil {
		panic(err) // the store in memory never fails, and the spec is valid
	}
	return t, o
}

// newFollower returns a follower that has loaded the published manifest.
func newFollower(t burdockyard.Table, o burdockyard.ObjectStore) *bymanifest.Follower {
	f := bymanifest.NewFollower(t, o, burdockyard.SystemClock{})
	if err := f.Refresh(context.Background()); err != nil {
		panic(err) // the store in memory never fails
	}
	return f
}

func manifestBytes(tenants int) func(int) float64 {
	return func(engines int) float64 {
		t, o := publishSpec(newSpec(engines, tenants))
		return heapBytes(func() *bymanifest.Follower { return newFollower(t, o) })
	}
}

func manifestTenantBytes(tenants int) float64 { return manifestBytes(tenants)(14) }

func manifestLoadNs(engines int) float64 {
	t, o := publishSpec(newSpec(engines, 1))
	return nsPerOp(func() { newFollower(t, o) })
}

func sectionBytes(engines int) float64 {
	data, err := json.Marshal(newSpec(engines, 1).Engines)
	if err != nil {
		panic(err) // EngineSpec has only fields that JSON can encode
	}
	return float64(len(data))
}

func callStartNs(engines int) float64 {
	m := bymanifest.New(newSpec(engines, engines), 1)
	router := byroute.New(byroute.WithRand(rand.New(rand.NewPCG(1, 1))))
	d := byserve.NewDispatcher[int](router, func() *bymanifest.Manifest { return m }, func() bool { return true })
	d.Update(nil, byroute.NodePosition{Nodes: max(engines/11, 1)}, time.Now())
	class, _ := m.Class("")
	work := byroute.Work{PromptTokens: 300, OutputTokens: 80}
	now := time.Now()
	i := 0
	return nsPerOp(func() {
		i++
		tenant := burdockyard.Tenant(m.Spec().Tenants[i%engines].Name)
		call := byserve.AdmissionCall(m.Engines()[0].Model(), class, tenant, 1, work, now)
		if _, refusal := d.Offer(byserve.PendingCall[int]{Model: "m", Call: call, Work: work}, now); refusal != nil {
			panic(refusal.Cause()) // the queue is empty
		}
		for _, s := range d.StartReady("m", now) {
			s.InFlight.RecordToken(now)
			s.InFlight.End()
		}
	})
}

func refusalNs(waiting int) float64 {
	q := byadmit.New[int]()
	now := time.Now()
	call := func(tenant int, by time.Time) byadmit.Call {
		return byadmit.Call{Tenant: burdockyard.Tenant(fmt.Sprint(tenant)), Weight: 1, Class: "c", MaxQueued: 10_000, Cost: time.Second, StartBy: by}
	}
	for i := range waiting {
		q.Offer(call(i, now.Add(time.Hour)), 0, now)
	}
	lateCall := call(0, now)
	return nsPerOp(func() { q.Offer(lateCall, 0, now) })
}

func prefixBytes(prefixes int) float64 {
	engines := bymanifest.New(newSpec(14, 1), 1).Engines()
	return heapBytes(func() *byroute.Router {
		r := byroute.New()
		for i := range prefixes {
			c := byroute.Choice{Engine: engines[i%len(engines)]}
			r.Start(c, byroute.Work{PrefixHashes: []uint64{uint64(i)}}, time.Now()).End()
		}
		return r
	})
}

func metricsBytes(tenants int) float64 {
	return heapBytes(func() *bymetrics.Metrics {
		m := bymetrics.New()
		for i := range tenants {
			t := burdockyard.Tenant(fmt.Sprintf("tenant-%04d", i))
			for k := range 50 {
				v := float64(k) * 0.01
				m.TimeToFirstToken(t, "c").Update(v)
				m.InterTokenLatency(t, "c").Update(v)
				m.QueueWait(t, "c").Update(v)
				m.ResponseTime(t, "c").Update(v)
			}
		}
		return m
	})
}

// countingTable counts the reads and writes of a table.
type countingTable struct {
	*bymem.Table
	reads, writes int
}

func newCountingTable() *countingTable { return &countingTable{Table: bymem.NewTable()} }

func (t *countingTable) Get(ctx context.Context, keys ...string) ([]burdockyard.Row, error) {
	t.reads++
	return t.Table.Get(ctx, keys...)
}

func (t *countingTable) Commit(ctx context.Context, txn burdockyard.Txn) error {
	t.writes++
	return t.Table.Commit(ctx, txn)
}

// manualClock is a clock that only the measurement advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// leaseRates returns the reads and writes per second of a lease holder and one
// watcher for each shard, each of which calls RenewOrAcquire once a second.
func leaseRates(shards int) (reads, writes float64) {
	const span = 60
	t, clock := newCountingTable(), &manualClock{now: time.Now()}
	var keepers []*bylease.Keeper
	for i := range shards {
		for _, node := range []burdockyard.NodeID{"a", "b"} {
			m := burdockyard.Member{Node: node, Incarnation: burdockyard.Incarnation(node)}
			keepers = append(keepers, bylease.New(t, clock, burdockyard.ShardID(fmt.Sprint(i)), m))
		}
	}
	for range span {
		for _, k := range keepers {
			if err := k.RenewOrAcquire(context.Background()); err != nil {
				panic(err) // the table in memory never fails
			}
		}
		clock.now = clock.now.Add(time.Second)
	}
	return float64(t.reads) / span, float64(t.writes) / span
}

func leaseReads(shards int) float64 { r, _ := leaseRates(shards); return r }

func leaseWrites(shards int) float64 { _, w := leaseRates(shards); return w }

// acceptingEngine is an engine that accepts every order.
type acceptingEngine struct{ burdockyard.Engine }

func (acceptingEngine) Report(context.Context) (burdockyard.EngineReport, error) {
	return burdockyard.EngineReport{Incarnation: "i"}, nil
}

func (acceptingEngine) Order(_ context.Context, o burdockyard.Order) (burdockyard.EngineReport, error) {
	return burdockyard.EngineReport{Incarnation: "i", State: o.State}, nil
}

type acceptingEndpoints struct{}

func (acceptingEndpoints) Engine(string) burdockyard.Engine   { return acceptingEngine{} }
func (acceptingEndpoints) Service(string) burdockyard.Service { return okService{} }

// okService is a service that answers every call with status 200.
type okService struct{}

func (okService) Call(context.Context, burdockyard.ServiceRequest) (burdockyard.ServiceResponse, error) {
	return burdockyard.ServiceResponse{Status: 200}, nil
}

// orderCounts returns the writes for one order to each engine, and the reads of one
// reconciliation of all engines once they are idle.
func orderCounts(engines int) (writes, idleReads float64) {
	const idleRounds = 10
	t, clock := newCountingTable(), burdockyard.SystemClock{}
	k := bylease.New(t, clock, "s", burdockyard.Member{Node: "a"})
	if err := k.RenewOrAcquire(context.Background()); err != nil {
		panic(err) // the table in memory never fails
	}
	t.writes = 0
	c := byorder.New(t, clock, k, acceptingEndpoints{})
	reconcileAll := func() {
		for i := range engines {
			target := byorder.Target{Engine: engineID(i), EnforcesFencing: true, State: burdockyard.EngineState{Model: "m", Serving: true}}
			if err := c.Reconcile(context.Background(), target); err != nil {
				panic(err) // the store in memory never fails
			}
		}
	}
	reconcileAll()
	writes = float64(t.writes)
	reconcileAll()
	t.reads = 0
	for range idleRounds {
		reconcileAll()
	}
	return writes, float64(t.reads) / idleRounds
}

func orderWrites(engines int) float64 { w, _ := orderCounts(engines); return w }

func idleOrderReads(engines int) float64 { _, r := orderCounts(engines); return r }

func bookingWrites(bookings int) float64 {
	t := newCountingTable()
	claimer := bybooking.New(t, burdockyard.SystemClock{}, burdockyard.Member{Node: "a"})
	for i := range bookings {
		_, err := claimer.Call(context.Background(), bybooking.Call{
			Tenant: "t", IdempotencyKey: fmt.Sprint(i), Endpoints: []burdockyard.Service{okService{}},
		})
		if err != nil {
			panic(err) // the table in memory never fails
		}
	}
	return float64(t.writes)
}

// manifestReads returns the reads per second of nodes that check for a newer
// manifest once a second.
func manifestReads(nodes int) float64 {
	t := newCountingTable()
	o := bymem.NewObjectStore()
	if _, err := bymanifest.Publish(context.Background(), t, o, newSpec(14, 1), 0); err != nil {
		panic(err) // the table in memory never fails
	}
	var followers []*bymanifest.Follower
	for range nodes {
		followers = append(followers, newFollower(t, o))
	}
	t.reads = 0
	for _, f := range followers {
		if err := f.Refresh(context.Background()); err != nil {
			panic(err) // the store in memory never fails
		}
	}
	return float64(t.reads)
}
