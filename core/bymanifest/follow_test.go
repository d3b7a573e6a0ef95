package bymanifest_test

import (
	"context"
	"testing"
	"time"

	"burdockyard/core/bymanifest"
	"burdockyard/io/bymem"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func spec() bymanifest.Spec {
	return bymanifest.Spec{
		Name:    "n",
		Models:  []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 1, DecodeRate: 1, MaxStreams: 1, MaxPrompt: 1}},
		Engines: []bymanifest.EngineSpec{{Name: "e", Address: "10.0.0.1:1", Model: "m", Domain: "a", Role: "mixed"}},
		Classes: []bymanifest.ClassSpec{{Name: "c", FirstToken: time.Second, Deadline: time.Second, MaxQueued: 1}},
		Tenants: []bymanifest.TenantSpec{{Name: "t", Weight: 1}},
	}
}

// TestMajorityOfNodesKeepsManifestFresh checks which replies from peers confirm a
// manifest while the table is down. A node must not act on an outdated manifest,
// and a cluster whose nodes all lost freshness at once must be able to recover
// without the table.
func TestMajorityOfNodesKeepsManifestFresh(t *testing.T) {
	for _, c := range []struct {
		name        string
		nodes       int
		generations []uint64 // of the peers that replied
		want        bool
	}{
		{"no peer replies", 3, nil, false},
		{"single node", 1, nil, true},
		{"one of four peers replies", 5, []uint64{1}, false},
		{"two of four peers reply", 5, []uint64{1, 0}, true},
		{"three of four peers reply, one with a newer manifest", 5, []uint64{1, 2, 1}, false},
	} {
		clock := &manualClock{now: time.Now()}
		table, objects := bymem.NewTable(), bymem.NewObjectStore()
		if _, err := bymanifest.Publish(context.Background(), table, objects, spec(), 0); err != nil {
			t.Fatal(err)
		}
		f := bymanifest.NewFollower(table, objects, clock)
		if err := f.Refresh(context.Background()); err != nil || !f.Fresh() {
			t.Fatalf("not fresh right after Refresh, or Refresh failed: %v", err)
		}
		clock.now = clock.now.Add(bymanifest.MaxConfirmationAge)
		if f.Fresh() {
			t.Fatal("Fresh() = true after MaxConfirmationAge without a confirmation, want false")
		}
		f.ConfirmByMajority(c.nodes, c.generations, clock.now)
		if f.Fresh() != c.want {
			t.Errorf("%s: Fresh() = %t, want %t", c.name, f.Fresh(), c.want)
		}
	}
}

// TestOverrideOutlastsPublication checks that a drained endpoint stays drained
// when a new manifest is published, and that publishing a manifest without the
// endpoint removes the override. Otherwise publishing would undo an operator's
// drain, or an endpoint that is added again later would start drained.
func TestOverrideOutlastsPublication(t *testing.T) {
	ctx := context.Background()
	table, objects := bymem.NewTable(), bymem.NewObjectStore()
	f := bymanifest.NewFollower(table, objects, &manualClock{now: time.Now()})
	publish := func(s bymanifest.Spec) {
		t.Helper()
		if _, err := bymanifest.Publish(ctx, table, objects, s, bymanifest.AnyGeneration); err != nil {
			t.Fatal(err)
		}
	}
	serving := func() bool {
		t.Helper()
		if err := f.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		e, ok := f.Current().Engine("e")
		return ok && e.Serving()
	}
	publish(spec())
	if _, err := bymanifest.SetEndpointState(ctx, table, objects, "e", bymanifest.StateDrained); err != nil {
		t.Fatal(err)
	}
	publish(spec())
	if serving() {
		t.Error("endpoint is serving after the next publication, want it still drained")
	}
	withoutEndpoint := spec()
	withoutEndpoint.Engines[0].Name = "other"
	publish(withoutEndpoint)
	publish(spec())
	if !serving() {
		t.Error("endpoint is not serving after it was removed and added again, want the override removed")
	}
}
