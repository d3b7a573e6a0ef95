package byentry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byduty"
	"burdockyard/core/byfleet"
	"burdockyard/core/byplace"
	"burdockyard/core/byscale"
	"burdockyard/io/bylog"
)

// scaleCheckInterval is the interval at which the number of endpoints is checked.
const scaleCheckInterval = 500 * time.Millisecond

// scaling counts the work that callers ask of this node and, while this node holds the
// duty, orders endpoints for the work that all nodes have counted. Only the goroutine that
// calls reconcile uses planners and problems.
type scaling struct {
	node     *Node
	planners map[string]*byscale.Planner // by service; dropped when the duty is lost
	problems map[string]string           // by service; the last error that was logged

	mu     sync.Mutex // guards the following; a leaf lock
	counts map[string]*byscale.Demand
	meters map[string]*byscale.Meter
}

func newScaling(n *Node) *scaling {
	return &scaling{
		node: n, planners: map[string]*byscale.Planner{}, problems: map[string]string{},
		counts: map[string]*byscale.Demand{}, meters: map[string]*byscale.Meter{},
	}
}

// isOn reports whether endpoints of any service may be ordered.
func (s *scaling) isOn() bool {
	return s.node.platform.API != nil && s.node.reloadableSettings.Load().Duties.Scales
}

// countPrompt counts a request for a model, once. planned states whether plan holds one;
// a request for which there is no engine counts as one that is prefilled from the start.
func (s *scaling) countPrompt(service *burdockyard.ServiceSpec, prompt *burdockyard.Prompt, plan byplace.Plan, planned bool) {
	if service.Scaling == nil || !s.isOn() {
		return
	}
	tokens := byplace.PromptTokens(prompt)
	if !planned {
		plan = byplace.UnplannedPrefill(prompt, service.Model.Slots)
	}
	t := s.node.loadTracker.EngineTime(plan, prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.count(service.Name)
	d.Requests++
	d.PromptTokens += int64(tokens)
	d.CachedTokens += int64(plan.CachedTokens)
	d.OutputTokens += int64(prompt.MaxOutputTokens)
	d.PrefillTime += t.Prefill
	d.DecodeTime += t.Decode
}

// countCall counts one attempt of a request to a plain service.
func (s *scaling) countCall(service *burdockyard.ServiceSpec, e byfleet.Endpoint, took time.Duration) {
	if service.Scaling == nil || !s.isOn() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.count(service.Name)
	d.Requests++
	d.DecodeTime += took / time.Duration(max(e.Slots, 1))
}

// count returns the counts of a service. The caller must hold mu.
func (s *scaling) count(service string) *byscale.Demand {
	d := s.counts[service]
	if d == nil {
		d = &byscale.Demand{Service: service}
		s.counts[service] = d
	}
	return d
}

// demand returns what this node has counted since its start.
func (s *scaling) demand() []byscale.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []byscale.Demand
	for _, d := range s.counts {
		all = append(all, *d)
	}
	slices.SortFunc(all, func(a, b byscale.Demand) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// record records what a node has counted since its start.
func (s *scaling) record(member burdockyard.Member, demand []byscale.Demand) {
	t := s.node.routes.Current()
	if t == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range demand {
		spec := t.Service(d.Service)
		if spec == nil || spec.Scaling == nil {
			continue // another node may know a newer configuration
		}
		s.meter(spec).Record(member, d)
	}
}

// meter returns the meter of a service. The caller must hold mu.
func (s *scaling) meter(spec *burdockyard.ServiceSpec) *byscale.Meter {
	m := s.meters[spec.Name]
	if m == nil {
		m = byscale.NewMeter(s.node.clock, spec.Scaling.BootTime)
		s.meters[spec.Name] = m
	}
	return m
}

// reconcile orders endpoints where the load asks for another number of them.
func (s *scaling) reconcile(ctx context.Context) {
	n := s.node
	t := n.routes.Current()
	if t == nil || !s.isOn() {
		return
	}
	if _, held := n.duties.authority(burdockyard.DutyScale); !held {
		if !n.duties.keeper.IsHolder() {
			s.forget()
		}
		return
	}
	for _, spec := range t.Services() {
		if spec.Scaling != nil {
			s.reconcileService(ctx, spec)
		}
	}
}

// forget drops what a holder of the duty has learned. Nodes report to the holder alone, so
// it is soon out of date.
func (s *scaling) forget() {
	clear(s.planners)
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.meters)
}

func (s *scaling) reconcileService(ctx context.Context, spec *burdockyard.ServiceSpec) {
	n := s.node
	state := s.state(spec)
	err := byscale.Check(state)
	s.logProblem(spec.Name, err)
	if err != nil && !errors.Is(err, byscale.ErrTooMany) {
		return
	}
	p := s.planners[spec.Name]
	if p == nil {
		p = byscale.New(n.clock, spec.Name)
		s.planners[spec.Name] = p
	}
	decisions := p.Decide(state)
	s.showCounts(spec.Name, p, state)
	for _, d := range decisions {
		if err := s.order(ctx, spec, p, d); err != nil && !errors.Is(err, burdockyard.ErrCallRefused) {
			return // the rest may be out of date by the time that the platform answers again
		}
	}
}

// state returns what is known of a service.
func (s *scaling) state(spec *burdockyard.ServiceSpec) byscale.State {
	n := s.node
	usable := map[burdockyard.EndpointID]bool{}
	working := n.fleet.Usable(spec.Name)
	for _, e := range working {
		usable[e.ID] = true
	}
	state := byscale.State{Spec: spec.Scaling, InFlight: n.loadTracker.FilledEngines(working)}
	for _, e := range n.fleet.All(spec.Name) {
		state.Endpoints = append(state.Endpoints, byscale.Endpoint{
			Pool: byscale.Pool{Domain: e.Domain, Spot: e.Spot}, Role: e.Role, Leaving: e.Draining, Usable: usable[e.ID],
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Forecast = s.meter(spec).Forecast()
	return state
}

// logProblem logs an error that keeps orders back, once for each time that it appears.
func (s *scaling) logProblem(service string, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if s.problems[service] == text {
		return
	}
	s.problems[service] = text
	if err != nil {
		s.node.log.orders.Warn("scaling is at fault, the last counts stay in force", bylog.Str("service", service), bylog.Err(err))
	}
}

// order sends one order.
func (s *scaling) order(ctx context.Context, spec *burdockyard.ServiceSpec, p *byscale.Planner, d byscale.Decision) error {
	n := s.node
	fence := uint64(0)
	err := n.duties.call(ctx, burdockyard.DutyScale, func(ctx context.Context, a burdockyard.Authority) error {
		fence = a.Fence
		return n.platform.API.Scale(ctx, a, d.Order)
	})
	if errors.Is(err, byduty.ErrNotHeld) {
		return err
	}
	p.RecordOutcome(d, spec.Scaling.BootTime, err)
	n.metrics.ScaleOrders(spec.Name, callOutcome(err)).Inc()
	n.log.orders.Info("endpoints ordered", bylog.Str("service", spec.Name), bylog.Str("domain", d.Order.Domain), bylog.Bool("spot", d.Order.Spot),
		bylog.Int("count", d.Order.Count), bylog.Int("present", d.Present), bylog.Str("reason", d.Reason), bylog.Int("need", d.Need), bylog.Int("reserve", d.Reserve),
		bylog.Int("prefill_ms_per_s", int(1000*d.Work.Prefill)), bylog.Int("decode_ms_per_s", int(1000*d.Work.Decode)),
		bylog.Int("fence", int(fence)), bylog.Str("outcome", callOutcome(err)))
	return err
}

// showCounts sets the metrics of a service's endpoints.
func (s *scaling) showCounts(service string, p *byscale.Planner, state byscale.State) {
	present := map[byscale.Pool]int{}
	for _, e := range state.Endpoints {
		if !e.Leaving {
			present[e.Pool]++
		}
	}
	for pool, wanted := range p.Wanted() {
		s.node.metrics.EndpointsWanted(service, pool.Domain, pool.Kind()).Set(float64(wanted))
		s.node.metrics.EndpointsPresent(service, pool.Domain, pool.Kind()).Set(float64(present[pool]))
	}
}
