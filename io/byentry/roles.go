package byentry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byclaim"
	"burdockyard/core/byfleet"
	"burdockyard/core/byrole"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

const (
	// roleEvery is the time between two looks at the engines' roles.
	roleEvery = time.Second
	// holdLead is how long before an order peers are told to send an engine nothing
	// more. It is as long as the rarest heartbeats are apart.
	holdLead = longestBeat
	// holdFor is how long a peer's word holds, since it repeats it.
	holdFor = 3 * longestBeat
	// holdTail is how long an engine gets no work beyond its announced absence,
	// unless the registry tells of its new role before.
	holdTail = 2 * time.Second
	// controlTimeout bounds one call of an engine's controls.
	controlTimeout = 600 * time.Millisecond
	// controlAnswer bounds the answer to such a call, in bytes.
	controlAnswer = 1 << 20
)

// roleChanges orders engines to change their role when the mix of prompts and
// output has shifted for good. All nodes observe; the one that comes first in
// rendezvous hashing of the service acts, and its claim keeps two that both think
// so apart.
type roleChanges struct {
	node     *Node
	claims   *byclaim.Claims
	deciders map[string]*byrole.Decider  // by service; of the loop alone
	pending  map[string]byfleet.Endpoint // whose claim is still another node's; of the loop alone

	mu    sync.Mutex // leaf lock
	holds map[burdockyard.EndpointID]hold
}

func newRoleChanges(n *Node) *roleChanges {
	return &roleChanges{
		node: n, claims: byclaim.New(n.platform.Table, n.clock, n.self, byclaim.WithTTL(n.settings.ClaimTTL)),
		deciders: map[string]*byrole.Decider{}, pending: map[string]byfleet.Endpoint{}, holds: map[burdockyard.EndpointID]hold{},
	}
}

// step looks at each service that serves a model.
func (r *roleChanges) step(ctx context.Context) {
	n := r.node
	t := n.routes.Current()
	if t == nil {
		return
	}
	for _, s := range t.Services() {
		if s.Model == nil || s.Model.RoleChange <= 0 {
			continue
		}
		d := r.deciders[s.Name]
		if d == nil {
			d = byrole.New(n.clock)
			r.deciders[s.Name] = d
		}
		engines := n.fleet.Usable(s.Name)
		d.Observe(r.sample(s, engines))
		role, wanted := d.Wanted()
		if !wanted || !r.acts(s.Name) {
			delete(r.pending, s.Name)
			continue
		}
		r.change(ctx, d, s, engines, role)
	}
}

func (r *roleChanges) sample(s *burdockyard.ServiceSpec, engines []byfleet.Endpoint) byrole.Sample {
	sample := byrole.Sample{Away: s.Model.RoleChange}
	sample.Readers.Engines, sample.Readers.Wait = r.node.ledger.Pressure(engines, burdockyard.RolePrefill)
	sample.Runners.Engines, sample.Runners.Wait = r.node.ledger.Pressure(engines, burdockyard.RoleDecode)
	return sample
}

// acts reports whether this node orders the changes of a service.
func (r *roleChanges) acts(service string) bool {
	n := r.node
	return n.ready() && n.view.Rank("roles/"+service, "", n.settings.Domain) == 0
}

// change claims an engine of the other role and orders it.
func (r *roleChanges) change(ctx context.Context, d *byrole.Decider, s *burdockyard.ServiceSpec, engines []byfleet.Endpoint, role burdockyard.Role) {
	n := r.node
	e, ok := r.pending[s.Name]
	if !ok {
		if e, ok = r.pick(engines, role); !ok {
			return
		}
	}
	claim, err := r.claims.Take(ctx, e.ID)
	if errors.Is(err, byclaim.ErrClaimed) {
		r.pending[s.Name] = e
		return // it lapses within some seconds
	}
	delete(r.pending, s.Name)
	d.Tried(role)
	if err != nil {
		n.log.orders.Info("engine not claimed", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)), bylog.Err(err))
		return
	}
	n.log.orders.Info("engine claimed", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)), bylog.Int("fence", int(claim.Fence())))
	r.hold(e.ID, holdLead+2*controlTimeout, holdLead+2*controlTimeout)
	sleep(ctx, holdLead)
	if err := r.order(ctx, claim, e, role); err != nil {
		n.log.orders.Warn("order not taken, or not known to be", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)),
			bylog.Int("fence", int(claim.Fence())), bylog.Err(err))
		return
	}
	n.metrics.Order().Inc()
	n.metrics.RoleChange().Inc()
	r.hold(e.ID, s.Model.RoleChange, s.Model.RoleChange+holdTail)
	n.log.orders.Info("order taken", bylog.Str("endpoint", string(e.ID)), bylog.Str("role", string(role)), bylog.Int("fence", int(claim.Fence())))
}

// pick chooses the engine that is given to a role: in the failure domain that has
// the most of the other role, the one whose work is least disturbed.
func (r *roleChanges) pick(engines []byfleet.Endpoint, role burdockyard.Role) (byfleet.Endpoint, bool) {
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
		_, waitA := r.node.ledger.Pressure([]byfleet.Endpoint{a}, a.Role)
		_, waitB := r.node.ledger.Pressure([]byfleet.Endpoint{b}, b.Role)
		return cmp.Or(cmp.Compare(perDomain[b.Domain], perDomain[a.Domain]), cmp.Compare(waitA, waitB), cmp.Compare(a.ID, b.ID))
	}), true
}

// order sends one order under a claim. It is never sent again: an order without an
// answer may still be carried out, and the registry will tell.
func (r *roleChanges) order(ctx context.Context, claim byclaim.Claim, e byfleet.Endpoint, role burdockyard.Role) error {
	n := r.node
	protocol := n.platform.Engines
	method, path, h := protocol.ReportCall(e.ID)
	status, body, err := n.control(ctx, e, &byforward.Request{Method: method, Path: path, Header: h})
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
		return errRoleMoved
	}
	o := burdockyard.RoleOrder{Role: role, Holder: n.self.Node, Fence: claim.Fence(), Sequence: report.Sequence}
	req := &byforward.Request{}
	req.Method, req.Path, req.Header, req.Body = protocol.OrderCall(e.ID, o)
	if !r.claims.Holds(claim) {
		return burdockyard.ErrNoAuthority
	}
	if status, _, err = n.control(ctx, e, req); err != nil {
		return err
	}
	return protocol.DecodeOrder(status)
}

// errRoleMoved tells that an engine has changed or changes already.
var errRoleMoved = errors.New("engine has the role already, or carries out another order")

// hold is an engine that gets no new work, here and at the peers.
type hold struct {
	role  burdockyard.Role // as of its begin
	least time.Time        // it lasts until then,
	most  time.Time        // and on until then or until the registry names another role
}

func (r *roleChanges) hold(id burdockyard.EndpointID, least, most time.Duration) {
	now := r.node.clock.Now()
	r.mu.Lock()
	r.holds[id] = hold{r.node.fleet.Role(id), now.Add(least), now.Add(most)}
	r.mu.Unlock()
	r.told()
}

// told renews the holds of this node, and returns them for its peers. It is called
// for each heartbeat.
func (r *roleChanges) told() []burdockyard.EndpointID {
	now := r.node.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []burdockyard.EndpointID
	for id, h := range r.holds {
		if now.After(h.most) || now.After(h.least) && r.node.fleet.Role(id) != h.role {
			delete(r.holds, id)
			continue
		}
		r.node.fleet.Hold(id, holdFor)
		ids = append(ids, id)
	}
	return ids
}

// held returns how many engines this node holds.
func (r *roleChanges) held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.holds)
}

// control makes one call of an endpoint's controls.
func (n *Node) control(ctx context.Context, e byfleet.Endpoint, req *byforward.Request) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req.Host, req.AnyID, req.Deadline = e.Addr, true, n.clock.Now().Add(controlTimeout)
	resp, err := n.forward.Send(ctx, byforward.Target{Addr: e.Addr, MaxConns: minConns}, req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	body, err = resp.ReadAll(controlAnswer)
	return resp.Status, body, err
}
