package bynode

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bycommit"
	"burdockyard/core/bydrain"
	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/core/byserve"
	"burdockyard/core/bystream"
	"burdockyard/io/byconfig"
	"burdockyard/io/byengine"
	"burdockyard/io/byhttp"
	"burdockyard/io/bylog"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bypeer"
	"burdockyard/io/byplatform"
)

func newSelf(s byconfig.Settings) burdockyard.Member { return s.Member(burdockyard.NewIncarnation()) }

func newClock() burdockyard.Clock { return burdockyard.SystemClock{} }

func newPlatform(s byconfig.Settings) *byplatform.Platform { return byplatform.New(s.Platform) }

func newTable(p *byplatform.Platform) burdockyard.Table { return p.Table() }

func newObjects(p *byplatform.Platform) burdockyard.ObjectStore { return p.Objects() }

func newEndpoints() burdockyard.EndpointClients { return byengine.New() }

func newRootLog(s byconfig.Settings, w io.Writer) zerolog.Logger {
	return bylog.New(w, s.LogLevel, s.Node)
}

func newLoggers(z zerolog.Logger) loggers {
	return loggers{
		node: bylog.ForComponent(z, bylog.Node), calls: bylog.ForComponent(z, bylog.Calls), leases: bylog.ForComponent(z, bylog.Leases),
		orders: bylog.ForComponent(z, bylog.Orders), manifest: bylog.ForComponent(z, bylog.Manifest), members: bylog.ForComponent(z, bylog.Members),
	}
}

func newBookings(t burdockyard.Table, c burdockyard.Clock, self burdockyard.Member, clients *bypeer.Clients) *bybooking.Executor {
	return bybooking.New(bycommit.New(t), c, self, bybooking.WithClaimantClient(clients))
}

func newServer(c burdockyard.Clock, e burdockyard.EndpointClients, f *bymanifest.Follower, b *bybooking.Executor, m *bymetrics.Metrics, l loggers) *byserve.Server {
	return byserve.New(c, e, f.Current, byserve.WithBookings(b), byserve.WithFreshness(f.Fresh), byserve.WithObserver(callObserver{m, l.calls}))
}

func newDrainer(c burdockyard.Clock, s *byserve.Server) *bydrain.Drainer {
	return bydrain.New(c, s.Dispatcher().Router().OpenCalls)
}

func newNode(s byconfig.Settings, self burdockyard.Member, c burdockyard.Clock, p *byplatform.Platform, e burdockyard.EndpointClients,
	clients *bypeer.Clients, f *bymanifest.Follower, v *bymember.View, b *bybooking.Executor, srv *byserve.Server,
	d *bydrain.Drainer, m *bymetrics.Metrics, l loggers) *Node {
	n := &Node{
		settings: s, self: self, clock: c, platform: p, endpoints: e, clients: clients, follower: f, members: v,
		bookings: b, server: srv, drainer: d, metrics: m, logs: l, done: make(chan struct{}), knownPeerAddrs: s.Peers,
	}
	n.callerHandler = byhttp.New(byhttp.Config{
		Server: srv, Signer: bystream.NewTokenSigner(s.ResumeKeyBytes()), Manifest: f.Current, Ready: n.checkReady, Heartbeat: n.heartbeat,
		Members: v, Metrics: m, Log: l.calls, AddressTTL: s.AddressTTL,
	})
	n.shards = newShardController(n)
	return n
}

// callObserver records queue waits, retries and hedged calls as metrics, and
// retries in the log.
type callObserver struct {
	metrics *bymetrics.Metrics
	log     bylog.Logger
}

func (o callObserver) Waited(c byserve.Call, d time.Duration) {
	o.metrics.QueueWait(c.Tenant, c.Class.Name).Update(d.Seconds())
}

func (o callObserver) Retried(c byserve.Call, engine burdockyard.EndpointID, cause error) {
	o.metrics.Retries().Inc()
	o.log.Info("call moved to another engine", bylog.Str("request", string(c.ID)), bylog.Str("engine", string(engine)), bylog.Err(cause))
}

func (o callObserver) Hedged() { o.metrics.Hedges().Inc() }
