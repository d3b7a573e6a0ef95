// Package byworkspace decides which workspace a request belongs to, and until when a node
// may believe in a key.
//
// # Usage
//
//	d := byworkspace.NewDirectory(config)            // for each configuration
//	provenAt, _ := freshness.ProvenAt()              // before the directory is looked up
//	decision := d.Decide(key, hasKey, age, bounds)   // age: now - provenAt
//	switch decision.Verdict {
//	case byworkspace.Served: … decision.Workspace …
//	case byworkspace.Denied: … status 401 …
//	case byworkspace.Stale:  … another node decides, or status 503 …
//	}
//
// # Revocation
//
// Where Bounds.Revoke is set, no request with a key that was taken away may run once that
// time has passed since the store has accepted the configuration without it. So a node must
// prove how recent its configuration is, and serves no keyed request when it cannot. See
// Freshness.
package byworkspace

import (
	"time"

	"burdockyard"
)

// Verdict is what happens to a request.
type Verdict int

// The verdicts.
const (
	Served Verdict = iota // the request may run, for Decision.Workspace if a key is needed
	Denied                // the request must not run: no workspace holds its key
	Stale                 // the configuration is too old to decide
)

// Cause is why a request is not served, as written to logs and metrics.
type Cause string

// The causes.
const (
	CauseNoKey      Cause = "no_key"
	CauseUnknownKey Cause = "unknown_key"
	CauseStale      Cause = "stale_configuration"
)

// Decision is the decision for one request. Workspace is nil unless the request is served
// for one.
type Decision struct {
	Verdict   Verdict
	Cause     Cause
	Workspace *burdockyard.Workspace
}

// revokeMargin is the part of Bounds.Revoke after which keys are no longer believed. The
// rest is for the way to the endpoint.
const revokeMargin = 0.9

// Bounds limits the age of the configuration by which requests are decided.
type Bounds struct {
	Revoke time.Duration // time after which no request with a revoked key may run; 0 if there is no such bound
	Config time.Duration // time after which a new key must be known
}

// Lapse returns the age from which a configuration is too old to believe in a key.
func (b Bounds) Lapse() time.Duration { return time.Duration(revokeMargin * float64(b.Revoke)) }

// IsStale reports whether a configuration of the given age is too old to believe in a key.
func (b Bounds) IsStale(age time.Duration) bool {
	return b.Revoke > 0 && age >= b.Lapse()
}

// Conflict is a key that several workspaces hold. It belongs to none of them.
type Conflict struct {
	Key        burdockyard.KeyHash
	Workspaces [2]string // names of the first two
}

// Directory finds the workspace that holds a key. It is immutable.
type Directory struct {
	checks    bool
	holders   map[burdockyard.KeyHash]*burdockyard.Workspace // nil for a key that several hold
	keys      int
	conflicts []Conflict
}

// NewDirectory returns the directory of a configuration, which must not change afterwards.
// A workspace without a name holds no key, since endpoints could not be told of it.
func NewDirectory(c *burdockyard.RouteConfig) *Directory {
	d := &Directory{checks: c.ChecksKeys, holders: map[burdockyard.KeyHash]*burdockyard.Workspace{}}
	for i := range c.Workspaces {
		ws := &c.Workspaces[i]
		if ws.Name == "" {
			continue
		}
		for _, key := range ws.Keys {
			holder, held := d.holders[key]
			switch {
			case !held:
				d.holders[key] = ws
				d.keys++
			case holder != nil && holder.Name != ws.Name:
				d.holders[key] = nil
				d.keys--
				d.conflicts = append(d.conflicts, Conflict{key, [2]string{holder.Name, ws.Name}})
			}
		}
	}
	return d
}

// ChecksKeys reports whether requests on routes that are not public need a key.
func (d *Directory) ChecksKeys() bool { return d.checks }

// Len returns the number of keys that belong to a workspace.
func (d *Directory) Len() int { return d.keys }

// Conflicts returns the keys that several workspaces hold.
func (d *Directory) Conflicts() []Conflict { return d.conflicts }

// Decide decides a request that needs a key. age is the time for which the configuration may
// be out of date.
func (d *Directory) Decide(key burdockyard.KeyHash, hasKey bool, age time.Duration, b Bounds) Decision {
	if !hasKey {
		return Decision{Verdict: Denied, Cause: CauseNoKey}
	}
	ws := d.holders[key]
	switch {
	case ws != nil && b.IsStale(age):
		return Decision{Verdict: Stale, Cause: CauseStale}
	case ws != nil:
		return Decision{Verdict: Served, Workspace: ws}
	case b.Config > 0 && age >= b.Config || b.IsStale(age):
		return Decision{Verdict: Stale, Cause: CauseStale} // the key may have been added since
	}
	return Decision{Verdict: Denied, Cause: CauseUnknownKey}
}
