package byproof

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"burdockyard"
)

// mutantCase disables the mechanism behind one promise. At least one run of the
// promise's scenario must then record a violation.
type mutantCase struct {
	promise int
	name    string
	mutant  mutant
	kinds   []faultKind // faults to try after a run without faults
	class   callClass   // class of the calls that the faults apply to; empty for all
}

var mutantCases = []mutantCase{
	{1, "orders carry no fence of their holder", mutant{endpoints: wrapEndpoints(withConstantFencing, nil)}, nil, ""},
	{2, "orders do not wait for an empty engine", mutant{skipDrain: true}, nil, ""},
	{3, "a former holder counts as stopped at once", mutant{formerHolders: withYielding}, []faultKind{pauseBefore}, toOrders},
	{4, "a cut answer counts as whole", mutant{endpoints: wrapEndpoints(withFalseFinish, nil)}, nil, ""},
	{5, "a lost answer counts as not run", mutant{endpoints: wrapEndpoints(nil, withFalseNotStarted)}, []faultKind{lostAnswer}, toServices},
	{6, "a claim is written over another", mutant{table: withUncheckedClaims}, nil, ""},
	{7, "a node keeps its first manifest", mutant{keepFirstManifest: true}, nil, ""},
	{8, "a planned stop does not wait", mutant{killOnStop: true}, nil, ""},
	{9, "a manifest of a peer is always taken", mutant{acceptAnyManifest: true}, []faultKind{partitionPlatform, pauseAfter, slowStore}, ""},
}

// TestMutants checks that each scenario detects the failure of the mechanism that
// it tests.
func TestMutants(t *testing.T) {
	for _, c := range mutantCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if !isDetected(t, scenarios[c.promise-1], c) {
				t.Errorf("promise %d: got no violation from any run with the mutant %q, want at least one", c.promise, c.name)
			}
		})
	}
}

func isDetected(t *testing.T, sc scenario, c mutantCase) bool {
	if violations, _, _ := simulate(t, sc, c.mutant); len(violations) > 0 {
		return true
	}
	for _, kind := range c.kinds {
		for at := 1; ; at++ {
			violations, _, fired := simulate(t, sc, c.mutant, fault{kind: kind, at: at, class: c.class})
			if len(violations) > 0 {
				return true
			}
			if fired == 0 {
				break
			}
		}
	}
	return false
}

// wrappedEndpoints wraps the engines and services that a node calls. A nil
// wrapper leaves them unchanged.
type wrappedEndpoints struct {
	burdockyard.EndpointClients
	engine  func(burdockyard.Engine) burdockyard.Engine
	service func(burdockyard.Service) burdockyard.Service
}

func wrapEndpoints(engine func(burdockyard.Engine) burdockyard.Engine, service func(burdockyard.Service) burdockyard.Service) func(burdockyard.EndpointClients) burdockyard.EndpointClients {
	return func(e burdockyard.EndpointClients) burdockyard.EndpointClients {
		return wrappedEndpoints{e, engine, service}
	}
}

func (w wrappedEndpoints) Engine(addr string) burdockyard.Engine {
	if w.engine == nil {
		return w.EndpointClients.Engine(addr)
	}
	return w.engine(w.EndpointClients.Engine(addr))
}

func (w wrappedEndpoints) Service(addr string) burdockyard.Service {
	if w.service == nil {
		return w.EndpointClients.Service(addr)
	}
	return w.service(w.EndpointClients.Service(addr))
}

type constantFencingEngine struct{ burdockyard.Engine }

func withConstantFencing(e burdockyard.Engine) burdockyard.Engine { return constantFencingEngine{e} }

func (e constantFencingEngine) Order(ctx context.Context, o burdockyard.Order) (burdockyard.EngineReport, error) {
	o.Fencing = 1
	return e.Engine.Order(ctx, o)
}

type falseFinishEngine struct{ burdockyard.Engine }

func withFalseFinish(e burdockyard.Engine) burdockyard.Engine { return falseFinishEngine{e} }

func (e falseFinishEngine) Generate(ctx context.Context, req burdockyard.GenerateRequest) (burdockyard.TokenStream, error) {
	s, err := e.Engine.Generate(ctx, req)
	return &falseFinishStream{TokenStream: s}, err
}

type falseFinishStream struct {
	burdockyard.TokenStream
	next int
}

func (s *falseFinishStream) Next() (burdockyard.Token, error) {
	t, err := s.TokenStream.Next()
	if errors.Is(err, burdockyard.ErrInterrupted) {
		return burdockyard.Token{Index: s.next, FinishReason: "length"}, nil
	}
	s.next = t.Index + 1
	return t, err
}

type falseNotStartedService struct{ burdockyard.Service }

func withFalseNotStarted(s burdockyard.Service) burdockyard.Service { return falseNotStartedService{s} }

func (s falseNotStartedService) Call(ctx context.Context, req burdockyard.ServiceRequest) (burdockyard.ServiceResponse, error) {
	resp, err := s.Service.Call(ctx, req)
	if errors.Is(err, burdockyard.ErrInterrupted) {
		err = burdockyard.ErrNotStarted
	}
	return resp, err
}

type uncheckedClaimsTable struct{ burdockyard.Table }

func withUncheckedClaims(t burdockyard.Table) burdockyard.Table { return uncheckedClaimsTable{t} }

func (u uncheckedClaimsTable) Commit(ctx context.Context, txn burdockyard.Txn) error {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, "booking/") && bytes.Contains(w.Value, []byte(`"claimed"`)) {
			txn.Checks = nil
		}
	}
	return u.Table.Commit(ctx, txn)
}

type yieldingHolders struct{ burdockyard.FormerHolderClient }

func withYielding(f burdockyard.FormerHolderClient) burdockyard.FormerHolderClient {
	return yieldingHolders{f}
}

func (yieldingHolders) Yield(context.Context, burdockyard.Member, burdockyard.ShardID, uint64) (bool, error) {
	return true, nil
}
