package byentry

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/byworkspace"
	"burdockyard/io/bylog"
)

const (
	// staleRetryAfter is about the time in which callers learn of a node that can decide
	// about keys.
	staleRetryAfter = 300 * time.Millisecond
	// maxKeyWarnings is the number of log lines about unknown keys in one keyWarningInterval,
	// and about keys of two workspaces in one configuration.
	maxKeyWarnings     = 5
	keyWarningInterval = 10 * time.Second
)

// authorize decides whether the request may run, by the configuration that is in force now,
// and sets denial, checksKeys and workspace. A request that has been authorized once stays
// with its workspace.
func (c *call) authorize() {
	n := c.node
	c.denial = ""
	if n.reloadableSettings.Load().RevokeBound > 0 {
		n.syncClock()
	}
	// What is known of the age is read before the configuration, and the clock after it, so
	// that the configuration is no older than its age says.
	provenAt := n.configProvenAt()
	directory := n.routes.Current().Workspaces()
	if !directory.ChecksKeys() {
		return
	}
	if c.checksKeys = true; c.route.Public {
		return
	}
	d := directory.Decide(c.info.Key, c.info.HasKey, n.clock.Now().Sub(provenAt), n.keyBounds())
	switch {
	case d.Verdict != byworkspace.Served:
		c.denial = d.Cause
	case c.workspace != nil && c.workspace.Name != d.Workspace.Name:
		c.denial = byworkspace.CauseUnknownKey
	default:
		c.workspace = d.Workspace
	}
}

// keyBounds returns the limits of the age of the configuration.
func (n *Node) keyBounds() byworkspace.Bounds {
	s := n.reloadableSettings.Load()
	return byworkspace.Bounds{Revoke: s.RevokeBound, Config: s.ConfigBound}
}

// needsKey reports whether the request may run only for a workspace.
func (c *call) needsKey() bool { return c.checksKeys && !c.route.Public }

// workspaceName returns the name of the caller's workspace, or "" if the request needs no
// key.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// priority returns the priority of the request. 0 is the most urgent.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.HasPriority {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// peers returns the nodes to which the request may be handed over: those that decide about
// keys, if it needs one, and reach the endpoints of the service. If only the decision is
// wanted, it suffices that they have not lost the endpoints.
func (c *call) peers() []bymember.Heartbeat {
	service := c.service.Name
	return c.node.peersTaking(func(h bymember.Heartbeat) bool {
		if c.needsKey() && (!h.ChecksKeys || h.Stale) {
			return false
		}
		return h.Reach.Reaches(service) || c.denial == byworkspace.CauseStale && !slices.Contains(h.Reach.Lost, service)
	})
}

// mayHandOverStale reports whether this node cannot decide about the caller's key, and a
// peer can.
func (c *call) mayHandOverStale() bool {
	return c.denial == byworkspace.CauseStale && c.handedOver == nil && len(c.peers()) > 0
}

// refuseUnauthorized responds to a request that must not run here and has not run.
func (c *call) refuseUnauthorized() {
	n := c.node
	n.metrics.KeyRefusals(string(c.denial)).Inc()
	text := "the API key is unknown"
	switch c.denial {
	case byworkspace.CauseStale:
		c.refuse(reasonStale, staleRetryAfter)
		return
	case byworkspace.CauseNoKey:
		text = "one API key is required"
	default:
		n.warnOfUnknownKey(c.info.Key)
	}
	fields := []bylog.Field{bylog.Int("status", http.StatusUnauthorized), bylog.Str("cause", text)}
	if c.info.HasKey {
		fields = append(fields, bylog.Str("key_hash", c.info.Key.String()))
	}
	c.recordEnd(bylog.OutcomeRejected, append(fields, c.configFields()...)...)
	c.markNotRun(reasonDenied)
	http.Error(c.w, text, http.StatusUnauthorized)
}

// keyWarnings bounds the log lines about unknown keys. mu is a leaf lock.
type keyWarnings struct {
	mu       sync.Mutex
	since    time.Time // begin of the present interval
	warnings int       // lines in the present interval
	omitted  int       // lines omitted since the last one
}

// warnOfUnknownKey logs the hash of a key that no workspace holds.
func (n *Node) warnOfUnknownKey(key burdockyard.KeyHash) {
	w, now := &n.keyWarnings, n.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.since) >= keyWarningInterval {
		w.since, w.warnings = now, 0
	}
	if w.warnings >= maxKeyWarnings {
		w.omitted++
		return
	}
	w.warnings++
	n.log.config.Warn("key is unknown", bylog.Str("key_hash", key.String()), bylog.Int("omitted", w.omitted))
	w.omitted = 0
}

// warnOfSharedKeys logs the keys of the configuration that several workspaces hold.
func (n *Node) warnOfSharedKeys() {
	conflicts := n.routes.Current().Workspaces().Conflicts()
	if len(conflicts) > maxKeyWarnings {
		n.log.config.Warn("further keys are of two workspaces", bylog.Int("keys", len(conflicts)-maxKeyWarnings))
	}
	for _, conflict := range conflicts[:min(len(conflicts), maxKeyWarnings)] {
		n.log.config.Warn("key of two workspaces, it belongs to neither", bylog.Str("key_hash", conflict.Key.String()),
			bylog.Str("workspace", conflict.Workspaces[0]), bylog.Str("other", conflict.Workspaces[1]))
	}
}

// knownKeys returns the number of keys by which callers can be told apart.
func (n *Node) knownKeys() float64 {
	t := n.routes.Current()
	if t == nil {
		return 0
	}
	return float64(t.Workspaces().Len())
}
