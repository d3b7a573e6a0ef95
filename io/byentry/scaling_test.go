package byentry

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"burdockyard"
	"burdockyard/core/byscale"
	"burdockyard/io/bymem"
)

// fakeAPI records orders.
type fakeAPI struct {
	burdockyard.PlatformAPI
	orders []burdockyard.ScaleOrder
	err    error
}

func (a *fakeAPI) Scale(_ context.Context, _ burdockyard.Authority, o burdockyard.ScaleOrder) error {
	a.orders = append(a.orders, o)
	return a.err
}

// newScalingTestNode returns a node with one endpoint in each of two failure domains, whose
// loops do not run, and the output of its log.
func newScalingTestNode(api burdockyard.PlatformAPI, spec *burdockyard.ScalingSpec) (*Node, *bytes.Buffer) {
	var log bytes.Buffer
	settings := Settings{Node: "n1", Domain: "a", ReloadableSettings: ReloadableSettings{Capacity: 1, Duties: DutySettings{Scales: true, CallsPerS: 50, Lease: 3 * time.Second}}}
	n := New(settings, Platform{Table: bymem.NewTable(), API: api}, WithLog(zerolog.New(&log)))
	n.routes.Update(&burdockyard.RouteConfig{Version: 1, Services: map[string]*burdockyard.ServiceSpec{
		"llm": {Name: "llm", Model: &burdockyard.ModelSpec{Slots: 4}, Scaling: spec}, "other": {Name: "other"},
	}})
	n.fleet.Apply([]burdockyard.Instance{
		{ID: "e1", Service: "llm", Domain: "a", Slots: 4, Sequence: 1}, {ID: "e2", Service: "llm", Domain: "b", Slots: 4, Sequence: 1},
		{ID: "e3", Service: "other", Domain: "a", Slots: 4, Sequence: 1},
	}, nil, n.clock.Now())
	return n, &log
}

func testSpec() *burdockyard.ScalingSpec {
	return &burdockyard.ScalingSpec{Min: 1, Max: 9, BootTime: 4 * time.Second, SpotPrice: 0.2, DomainPrices: map[string]float64{"a": 1, "b": 1}}
}

// reconcileFor lets the node check the number of endpoints for d. It renews the duties if
// renew is set, and acquires them first if they are free.
func reconcileFor(t *testing.T, n *Node, d time.Duration, renew bool) {
	t.Helper()
	for range int(d / scaleCheckInterval) {
		time.Sleep(scaleCheckInterval)
		var err error
		switch {
		case renew && !n.duties.keeper.IsHolder():
			_, err = n.duties.keeper.TryAcquire(t.Context())
		case renew && n.duties.keeper.IsRenewalDue():
			err = n.duties.keeper.Commit(t.Context())
		}
		if err != nil {
			t.Fatal(err)
		}
		n.scaling.reconcile(t.Context())
	}
}

// TestOnlyHolderOrders checks that orders for a growing load come from a node while it holds
// the duty, only for the service with a scaling, and that a later holder repeats none that
// the load no longer asks for.
func TestOnlyHolderOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := &fakeAPI{}
		n, _ := newScalingTestNode(api, testSpec())
		reconcileFor(t, n, 2*time.Second, false)
		if len(api.orders) != 0 {
			t.Fatalf("%v ordered without the duty", api.orders)
		}
		reconcileFor(t, n, 10*time.Second, true)
		n.scaling.record(burdockyard.Member{Node: "n2"}, []byscale.Demand{{Service: "llm"}, {Service: "other"}})
		time.Sleep(scaleCheckInterval)
		n.scaling.record(burdockyard.Member{Node: "n2"}, []byscale.Demand{{Service: "llm", PrefillTime: 3 * time.Second}, {Service: "other", PrefillTime: time.Hour}})
		reconcileFor(t, n, 2*time.Second, true)
		perPool := map[byscale.Pool]int{}
		for _, o := range api.orders {
			if o.Service != "llm" {
				t.Errorf("%v ordered, want orders for llm only", o)
			}
			perPool[byscale.Pool{Domain: o.Domain, Spot: o.Spot}] = o.Count
		}
		sum := 0
		for _, count := range perPool {
			sum += count
		}
		if sum < 5 {
			t.Errorf("%v ordered, want 5 endpoints or more for 3 s of engine time per second", api.orders)
		}
		ordered := len(api.orders)
		reconcileFor(t, n, 10*time.Second, false)
		if held := api.orders[ordered:]; len(held) > 2*int(3*time.Second/scaleCheckInterval) {
			t.Errorf("%d orders after the duty was lost", len(held))
		}
		ordered = len(api.orders)
		reconcileFor(t, n, 10*time.Second, false)
		if len(api.orders) != ordered {
			t.Errorf("%v ordered long after the duty was lost", api.orders[ordered:])
		}
	})
}

// TestUnsoundScalingIsLoggedOnce checks that nothing is ordered while the scaling of a
// service is unsound, and that the log says so once.
func TestUnsoundScalingIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := testSpec()
		spec.Min = 10
		api := &fakeAPI{}
		n, log := newScalingTestNode(api, spec)
		reconcileFor(t, n, 15*time.Second, true)
		if len(api.orders) != 0 {
			t.Errorf("%v ordered with a minimum above the maximum", api.orders)
		}
		if got := strings.Count(log.String(), "limits of 10 to 9 endpoints"); got != 1 {
			t.Errorf("%d lines of the log name the limits, want 1:\n%s", got, log)
		}
	})
}
