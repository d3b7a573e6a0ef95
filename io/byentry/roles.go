package byentry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/byclaim"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymember"
	"burdockyard/core/byrole"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

const (
	// roleCheckInterval is the interval at which the roles of the engines are checked.
	roleCheckInterval = time.Second
	// holdLeadTime is the time between putting an engine on hold and sending it a
	// role order. It equals the longest heartbeat interval, so that peers learn of the
	// hold before the order is sent.
	holdLeadTime = maxHeartbeatInterval
	// holdRenewalTTL is how long a hold lasts after a heartbeat that names it. It
	// spans several heartbeats, each of which renews the hold.
	holdRenewalTTL = 3 * maxHeartbeatInterval
	// holdMargin is how much longer than its configured role change time an engine
	// stays on hold, unless the registry reports its new role earlier.
	holdMargin = 2 * time.Second
	// controlTimeout limits one control call to an engine.
	controlTimeout = 600 * time.Millisecond
	// maxControlResponseBytes limits the size of the response to a control call.
	maxControlResponseBytes = 1 << 20
)

// roleController orders engines to switch between prefill and decode after a lasting
// shift in the ratio of prompt to output work. All nodes observe the load, but only
// the node that ranks first for the service in rendezvous hashing sends orders. If
// two nodes both consider themselves first, the claim in the store lets only one of
// them order a given engine.
type roleController struct {
	node   *Node
	claims *byclaim.Claimer

	// deciders and pending have the service name as their key. Only the goroutine that
	// calls reconcile uses them.
	deciders map[string]*byrole.Decider
	pending  map[string]byfleet.Endpoint // the engine to be changed, whose claim another node holds

	mu    sync.Mutex // guards holds; a leaf lock
	holds map[burdockyard.EndpointID]engineHold
}

func newRoleController(n *Node) *roleController {
	return &roleController{
		node: n, claims: byclaim.New(n.platform.Table, n.clock, n.self, byclaim.WithTTL(n.settings.ClaimTTL)),
		deciders: map[string]*byrole.Decider{}, pending: map[string]byfleet.Endpoint{}, holds: map[burdockyard.EndpointID]engineHold{},
	}
}

// reconcile checks each service that has a model and allows role changes, and orders
// a role change where one is needed.
func (r *roleController) reconcile(ctx context.Context) {
	n := r.node
	t := n.routes.Current()
	if t == nil {
		return
	}
	for _, s := range t.Services() {
		if s.Model == nil || s.Model.RoleChangeTime <= 0 {
			continue
		}
		d := r.deciders[s.Name]
		if d == nil {
			d = byrole.New(n.clock)
			r.deciders[s.Name] = d
		}
		engines := n.fleet.Usable(s.Name)
		d.Observe(r.sample(s, engines))
		role, wanted := d.WantedRole()
		if !wanted || !r.isResponsible(s.Name) {
			delete(r.pending, s.Name)
			continue
		}
		r.changeRole(ctx, d, s, engines, role)
	}
}

// sample returns the current load of the service's prefill and decode engines.
func (r *roleController) sample(s *burdockyard.ServiceSpec, engines []byfleet.Endpoint) byrole.Sample {
	sample := byrole.Sample{Downtime: s.Model.RoleChangeTime}
	sample.Prefill.Engines, sample.Prefill.Wait = r.node.loadTracker.MeanWait(engines, burdockyard.RolePrefill)
	sample.Decode.Engines, sample.Decode.Wait = r.node.loadTracker.MeanWait(engines, burdockyard.RoleDecode)
	return sample
}

// isResponsible reports whether this node is the one that orders role changes for a
// service: the first one among those that have not lost their links to its engines, or
// among all if all have.
func (r *roleController) isResponsible(service string) bool {
	n := r.node
	if n.isCutOff(service) {
		return false
	}
	lost := n.reach.IsLost(service)
	return n.ready() && n.view.RankAmong("roles/"+service, "", n.settings.Domain, func(h bymember.Heartbeat) bool {
		return lost || !slices.Contains(h.Reach.Lost, service)
	}) == 0
}

// changeRole claims an engine that does not have the given role, puts it on hold, and
// orders it to take the role. It blocks for holdLeadTime and up to two control calls.
func (r *roleController) changeRole(ctx context.Context, d *byrole.Decider, s *burdockyard.ServiceSpec, engines []byfleet.Endpoint, role burdockyard.Role) {
	n := r.node
	e, ok := r.pending[s.Name]
	if !ok {
		if e, ok = r.pickEngine(engines, role); !ok {
			return
		}
	}
	claim, err := r.claims.Acquire(ctx, e.ID)
	if errors.Is(err, byclaim.ErrClaimed) {
		r.pending[s.Name] = e
		return // the other node's claim expires within seconds
	}
	delete(r.pending, s.Name)
	d.RecordOrder(role)
	if err != nil {
		n.log.orders.Info("could not claim engine for a role change", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)), bylog.Err(err))
		return
	}
	n.log.orders.Info("engine claimed", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)), bylog.Int("fence", int(claim.Fence())))
	r.holdEngine(e.ID, holdLeadTime+2*controlTimeout, holdLeadTime+2*controlTimeout)
	sleep(ctx, holdLeadTime)
	if err := r.sendOrder(ctx, claim, e, role); err != nil {
		n.log.orders.Warn("order not taken, or not known to be", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)),
			bylog.Int("fence", int(claim.Fence())), bylog.Err(err))
		return
	}
	n.metrics.Orders().Inc()
	n.metrics.RoleChanges().Inc()
	r.holdEngine(e.ID, s.Model.RoleChangeTime, s.Model.RoleChangeTime+holdMargin)
	n.log.orders.Info("order taken", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)), bylog.Int("fence", int(claim.Fence())))
}

// pickEngine returns the engine that should take a role, and false if there is none.
// It prefers the failure domain with the most engines of the other role, and there
// the engine with the shortest wait, since its change disturbs the least work.
func (r *roleController) pickEngine(engines []byfleet.Endpoint, role burdockyard.Role) (byfleet.Endpoint, bool) {
	var candidates []byfleet.Endpoint
	perDomain := map[string]int{}
	for _, e := range engines {
		if (e.Role == burdockyard.RolePrefill) != (role == burdockyard.RolePrefill) {
			candidates = append(candidates, e)
			perDomain[e.Domain]++
		}
	}
	if len(candidates) == 0 {
		return byfleet.Endpoint{}, false
	}
	return slices.MinFunc(candidates, func(a, b byfleet.Endpoint) int {
		_, waitA := r.node.loadTracker.MeanWait([]byfleet.Endpoint{a}, a.Role)
		_, waitB := r.node.loadTracker.MeanWait([]byfleet.Endpoint{b}, b.Role)
		return cmp.Or(cmp.Compare(perDomain[b.Domain], perDomain[a.Domain]), cmp.Compare(waitA, waitB), cmp.Compare(a.ID, b.ID))
	}), true
}

// sendOrder sends one role order under a claim. An error does not prove that the
// engine rejected the order: one that got no response may still be executed. So it is
// never retried, and the registry shows the outcome.
func (r *roleController) sendOrder(ctx context.Context, claim byclaim.Claim, e byfleet.Endpoint, role burdockyard.Role) error {
	n := r.node
	protocol := n.platform.Engines
	method, path, h := protocol.ReportCall(e.ID)
	status, body, err := n.callControl(ctx, e, &byforward.Request{Method: method, Path: path, Header: h})
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return protocol.DecodeOrder(status)
	}
	report, err := protocol.DecodeReport(body)
	if err != nil {
		return err
	}
	if report.Busy || report.Role == role {
		return errRoleConflict
	}
	o := burdockyard.RoleOrder{Role: role, Holder: n.self.Node, Fence: claim.Fence(), Sequence: report.Sequence}
	req := &byforward.Request{}
	req.Method, req.Path, req.Header, req.Body = protocol.OrderCall(e.ID, o)
	if !r.claims.IsValid(claim) {
		return burdockyard.ErrNoAuthority
	}
	if status, _, err = n.callControl(ctx, e, req); err != nil {
		return err
	}
	return protocol.DecodeOrder(status)
}

// errRoleConflict is returned when an engine already has the role or is executing
// another order.
var errRoleConflict = errors.New("engine has the role already, or carries out another order")

// engineHold keeps new work from an engine, on this node and on its peers.
type engineHold struct {
	role   burdockyard.Role // role of the engine when the hold began
	minEnd time.Time        // earliest end of the hold
	maxEnd time.Time        // latest end; the hold ends earlier, but not before minEnd, if the registry reports another role
}

// holdEngine puts an engine on hold for at least minDuration and at most maxDuration.
func (r *roleController) holdEngine(id burdockyard.EndpointID, minDuration, maxDuration time.Duration) {
	now := r.node.clock.Now()
	r.mu.Lock()
	r.holds[id] = engineHold{r.node.fleet.Role(id), now.Add(minDuration), now.Add(maxDuration)}
	r.mu.Unlock()
	r.renewHolds()
	r.node.peers.sendSoon()
}

// renewHolds renews the holds of this node, drops those that have ended, and returns
// the IDs of the engines on hold. It is called for each heartbeat, which reports them
// to the peers.
func (r *roleController) renewHolds() []burdockyard.EndpointID {
	now := r.node.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []burdockyard.EndpointID
	for id, h := range r.holds {
		if now.After(h.maxEnd) || now.After(h.minEnd) && r.node.fleet.Role(id) != h.role {
			delete(r.holds, id)
			continue
		}
		r.node.fleet.Hold(id, holdRenewalTTL)
		ids = append(ids, id)
	}
	return ids
}

// holdCount returns the number of engines that this node has put on hold.
func (r *roleController) holdCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.holds)
}

// callControl sends one control call to an endpoint, and returns the status and the
// body of the response. It takes at most controlTimeout. It sends nothing to an endpoint
// that rests.
func (n *Node) callControl(ctx context.Context, e byfleet.Endpoint, req *byforward.Request) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if !n.fleet.AcceptsCalls(e.ID) {
		return 0, nil, merry.Wrap(burdockyard.ErrNotStarted)
	}
	n.limits.Take(e.ID, e.BornMS)
	req.Host, req.AllowMissingID, req.Deadline = e.Addr, true, n.clock.Now().Add(controlTimeout)
	resp, err := n.forwarder.Send(ctx, byforward.Target{Addr: e.Addr, MaxConns: minEndpointConns}, req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	n.observeResponse(e, resp.Status, resp.Header)
	body, err = resp.ReadAll(maxControlResponseBytes)
	return resp.Status, body, err
}
