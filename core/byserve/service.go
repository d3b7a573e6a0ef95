package byserve

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"burdockyard"
	"burdockyard/core/bybooking"
	"burdockyard/core/bymanifest"
)

// hedgeAfter is how long an idempotent call may take before a second copy is
// sent to another endpoint.
const hedgeAfter = 250 * time.Millisecond

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Tenant  burdockyard.Tenant
	Service string
	Request burdockyard.ServiceRequest
}

// CallService returns the service's answer. A call that may be repeated is
// retried and hedged within the budget; any other goes through the desk.
func (s *Server) CallService(ctx context.Context, c ServiceCall) (burdockyard.ServiceResponse, error) {
	var none burdockyard.ServiceResponse
	svc, ok := s.manifest().Service(c.Service)
	if !ok {
		return none, burdockyard.NewCallError(burdockyard.Invalid, "no service "+c.Service+" is in the manifest", burdockyard.WithStatus(404))
	}
	endpoints := s.byLoad(svc.Endpoints())
	if len(endpoints) == 0 {
		return none, burdockyard.NewCallError(burdockyard.NotRun, "no endpoint of the service serves now", burdockyard.WithRetryAfter(retryLater))
	}
	if !s.fresh() {
		return none, burdockyard.NewCallError(burdockyard.NotRun, "the node is out of touch; another one may serve the call", burdockyard.WithRetryAfter(retryLater))
	}
	s.budget.Earn()
	if svc.Repeatable(c.Request.Method, c.Request.Path) {
		return s.repeatable(ctx, c.Request, endpoints)
	}
	if c.Request.Key == "" {
		return none, burdockyard.NewCallError(burdockyard.Invalid, "the call may not be repeated; send an Idempotency-Key header")
	}
	senders := make([]burdockyard.Service, len(endpoints))
	for i, e := range endpoints {
		senders[i] = s.endpoints.Service(e.Address)
	}
	return s.desk.Call(ctx, bybooking.Call{Tenant: c.Tenant, Key: c.Request.Key, Request: c.Request, Senders: senders})
}

// byLoad orders endpoints by the calls that this node has open there.
func (s *Server) byLoad(endpoints []bymanifest.ServiceEndpoint) []bymanifest.ServiceEndpoint {
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(endpoints, func(a, b bymanifest.ServiceEndpoint) int {
		return cmp.Compare(s.open[a.Address], s.open[b.Address])
	})
	return endpoints
}

type serviceResult struct {
	resp burdockyard.ServiceResponse
	err  error
}

// repeatable sends the call, a second copy if the first is slow, and another
// try if one fails, each to the next endpoint and within the budget.
func (s *Server) repeatable(ctx context.Context, req burdockyard.ServiceRequest, endpoints []bymanifest.ServiceEndpoint) (burdockyard.ServiceResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the copy that lost
	results := make(chan serviceResult, len(endpoints))
	next, running := 0, 0
	send := func() {
		e := endpoints[next]
		next++
		running++
		s.count(e.Address, 1)
		s.running.Go(func() {
			defer s.count(e.Address, -1)
			resp, err := s.endpoints.Service(e.Address).Call(ctx, req)
			results <- serviceResult{resp, err}
		})
	}
	send()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				return r.resp, nil
			}
			if next < len(endpoints) && s.budget.Spend() {
				send()
			} else if running == 0 {
				return r.resp, serviceError(r.err)
			}
		case <-hedge.C:
			if next < len(endpoints) && s.budget.Spend() {
				s.observer.Hedged()
				send()
			}
		case <-ctx.Done():
			return burdockyard.ServiceResponse{}, unknownTimeout(ctx.Err())
		}
	}
}

func (s *Server) count(addr string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[addr] += n
}

func serviceError(err error) error {
	if errors.Is(err, burdockyard.ErrNotStarted) {
		return burdockyard.NewCallError(burdockyard.NotRun, "no endpoint of the service took the call",
			burdockyard.WithErr(err), burdockyard.WithRetryAfter(retryLater))
	}
	return burdockyard.NewCallError(burdockyard.OutcomeUnknown, "the endpoint's answer was lost",
		burdockyard.WithErr(err), burdockyard.WithRetryAfter(retryLater))
}

func unknownTimeout(err error) error {
	return burdockyard.NewCallError(burdockyard.OutcomeUnknown, "the call was still running when its time was up", burdockyard.WithErr(err))
}
