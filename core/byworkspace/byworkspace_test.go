package byworkspace_test

import (
	"fmt"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/byworkspace"
)

func hashes(keys ...string) []burdockyard.KeyHash {
	var out []burdockyard.KeyHash
	for _, key := range keys {
		out = append(out, burdockyard.HashKey(key))
	}
	return out
}

// TestDecide checks the decision for each kind of key at several ages of the configuration.
func TestDecide(t *testing.T) {
	d := byworkspace.NewDirectory(&burdockyard.RouteConfig{ChecksKeys: true, Workspaces: []burdockyard.Workspace{
		{Name: "north", Keys: hashes("n1", "n2", "n2", "both")},
		{Name: "south", Keys: hashes("s1", "both")},
		{Name: "east", Keys: hashes("both")},
		{Name: "north", Keys: hashes("n1")},
		{Keys: hashes("nameless")},
	}})
	if d.Len() != 3 || len(d.Conflicts()) != 1 || d.Conflicts()[0].Workspaces != [2]string{"north", "south"} {
		t.Errorf("got %d keys and conflicts %v, want 3 and one of north and south", d.Len(), d.Conflicts())
	}
	strict := byworkspace.Bounds{Revoke: 5 * time.Second, Config: 3 * time.Second}
	lenient := byworkspace.Bounds{Config: 3 * time.Second}
	for _, tt := range []struct {
		key       string
		age       time.Duration
		bounds    byworkspace.Bounds
		verdict   byworkspace.Verdict
		cause     byworkspace.Cause
		workspace string
	}{
		{"n2", time.Second, strict, byworkspace.Served, "", "north"},
		{"s1", 4499 * time.Millisecond, strict, byworkspace.Served, "", "south"},
		{"s1", 4500 * time.Millisecond, strict, byworkspace.Stale, byworkspace.CauseStale, ""},
		{"s1", time.Hour, lenient, byworkspace.Served, "", "south"},
		{"", time.Hour, strict, byworkspace.Denied, byworkspace.CauseNoKey, ""},
		{"gone", 2999 * time.Millisecond, strict, byworkspace.Denied, byworkspace.CauseUnknownKey, ""},
		{"gone", 3 * time.Second, strict, byworkspace.Stale, byworkspace.CauseStale, ""},
		{"gone", 3 * time.Second, lenient, byworkspace.Stale, byworkspace.CauseStale, ""},
		{"both", time.Second, strict, byworkspace.Denied, byworkspace.CauseUnknownKey, ""},
		{"nameless", time.Second, strict, byworkspace.Denied, byworkspace.CauseUnknownKey, ""},
	} {
		got := d.Decide(burdockyard.HashKey(tt.key), tt.key != "", tt.age, tt.bounds)
		name := ""
		if got.Workspace != nil {
			name = got.Workspace.Name
		}
		if got.Verdict != tt.verdict || got.Cause != tt.cause || name != tt.workspace {
			t.Errorf("key %q at age %v: got %+v, workspace %q, want verdict %v, cause %q, workspace %q", tt.key, tt.age, got, name, tt.verdict, tt.cause, tt.workspace)
		}
	}
}

// TestManyKeys checks that each of a thousand keys of a thousand workspaces is found.
func TestManyKeys(t *testing.T) {
	config := &burdockyard.RouteConfig{ChecksKeys: true}
	for i := range 1000 {
		ws := burdockyard.Workspace{Name: fmt.Sprint("w", i)}
		for j := range 1000 {
			ws.Keys = append(ws.Keys, burdockyard.KeyHash{byte(i), byte(i >> 8), byte(j), byte(j >> 8)})
		}
		config.Workspaces = append(config.Workspaces, ws)
	}
	d := byworkspace.NewDirectory(config)
	if d.Len() != 1_000_000 || len(d.Conflicts()) != 0 {
		t.Fatalf("got %d keys and %d conflicts, want 1000000 and none", d.Len(), len(d.Conflicts()))
	}
	for i, ws := range config.Workspaces {
		got := d.Decide(ws.Keys[i], true, 0, byworkspace.Bounds{})
		if got.Workspace == nil || got.Workspace.Name != ws.Name {
			t.Fatalf("got %+v for a key of %s", got, ws.Name)
		}
	}
}
