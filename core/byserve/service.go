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

// hedgeDelay is how long a repeatable call may take before a second copy is sent
// to another endpoint.
const hedgeDelay = 250 * time.Millisecond

// ServiceCall is a call to a plain service, one that serves no model.
type ServiceCall struct {
	Tenant  burdockyard.Tenant
	Service string
	Request burdockyard.ServiceRequest
}

// CallService returns the service's response. A call that may be repeated is
// retried and hedged within the retry budget. Any other call needs an idempotency
// key and is executed through the booking table, at most once.
func (s *Server) CallService(ctx context.Context, c ServiceCall) (burdockyard.ServiceResponse, error) {
	var noResponse burdockyard.ServiceResponse
	svc, ok := s.manifest().Service(c.Service)
	if !ok {
		return noResponse, burdockyard.NewCallError(burdockyard.OutcomeInvalid, "no service "+c.Service+" is in the manifest", burdockyard.WithStatus(404))
	}
	endpoints := s.sortByOpenCalls(svc.Endpoints())
	if len(endpoints) == 0 {
		return noResponse, burdockyard.NewCallError(burdockyard.OutcomeNotRun, "no endpoint of the service serves now", burdockyard.WithRetryAfter(defaultRetryAfter))
	}
	if !s.manifestFresh() {
		return noResponse, burdockyard.NewCallError(burdockyard.OutcomeNotRun, "the node is out of touch; another one may serve the call", burdockyard.WithRetryAfter(defaultRetryAfter))
	}
	s.budget.Deposit()
	if svc.Repeatable(c.Request.Method, c.Request.Path) {
		return s.callRepeatable(ctx, c.Request, endpoints)
	}
	if c.Request.IdempotencyKey == "" {
		return noResponse, burdockyard.NewCallError(burdockyard.OutcomeInvalid, "the call may not be repeated; send an Idempotency-Key header")
	}
	clients := make([]burdockyard.Service, len(endpoints))
	for i, e := range endpoints {
		clients[i] = s.endpoints.Service(e.Address)
	}
	return s.bookings.Call(ctx, bybooking.Call{Tenant: c.Tenant, IdempotencyKey: c.Request.IdempotencyKey, Request: c.Request, Endpoints: clients})
}

// sortByOpenCalls sorts endpoints in place by the number of calls that this node
// has open there, with ties in random order, and returns them.
func (s *Server) sortByOpenCalls(endpoints []bymanifest.ServiceEndpoint) []bymanifest.ServiceEndpoint {
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(endpoints, func(a, b bymanifest.ServiceEndpoint) int {
		return cmp.Compare(s.openByAddress[a.Address], s.openByAddress[b.Address])
	})
	return endpoints
}

type serviceResult struct {
	resp burdockyard.ServiceResponse
	err  error
}

// callRepeatable sends a call that may be repeated. It sends a second copy if the
// first one is slow, and another if one fails, each to the next endpoint and
// within the retry budget. The first response wins.
func (s *Server) callRepeatable(ctx context.Context, req burdockyard.ServiceRequest, endpoints []bymanifest.ServiceEndpoint) (burdockyard.ServiceResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // stops the copies that are still running
	results := make(chan serviceResult, len(endpoints))
	next, pending := 0, 0
	sendNext := func() {
		e := endpoints[next]
		next++
		pending++
		s.addOpenCalls(e.Address, 1)
		s.serviceCalls.Go(func() {
			defer s.addOpenCalls(e.Address, -1)
			resp, err := s.endpoints.Service(e.Address).Call(ctx, req)
			results <- serviceResult{resp, err}
		})
	}
	sendNext()
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				return r.resp, nil
			}
			if next < len(endpoints) && s.budget.TryWithdraw() {
				sendNext()
			} else if pending == 0 {
				return r.resp, sendError(r.err)
			}
		case <-hedgeTimer.C:
			if next < len(endpoints) && s.budget.TryWithdraw() {
				s.observer.Hedged()
				sendNext()
			}
		case <-ctx.Done():
			return burdockyard.ServiceResponse{}, timeoutError(ctx.Err())
		}
	}
}

func (s *Server) addOpenCalls(addr string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openByAddress[addr] += n
}

func sendError(err error) error {
	if errors.Is(err, burdockyard.ErrNotStarted) {
		return burdockyard.NewCallError(burdockyard.OutcomeNotRun, "no endpoint of the service took the call",
			burdockyard.WithErr(err), burdockyard.WithRetryAfter(defaultRetryAfter))
	}
	return burdockyard.NewCallError(burdockyard.OutcomeUnknown, "the endpoint's answer was lost",
		burdockyard.WithErr(err), burdockyard.WithRetryAfter(defaultRetryAfter))
}

func timeoutError(err error) error {
	return burdockyard.NewCallError(burdockyard.OutcomeUnknown, "the call was still running when its time was up", burdockyard.WithErr(err))
}
