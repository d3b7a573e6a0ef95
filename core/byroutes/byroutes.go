// Package byroutes finds the route of a request, and keeps the configuration
// that is in force from going back.
//
// # Usage
//
//	var f byroutes.Follower
//	f.Offer(config)                  // from the store or from a peer
//	table := f.Current()             // nil before the first configuration
//	route := table.Match(host, path) // nil if no route matches
//	service := byroutes.PickService(route, rand.Float64())
package byroutes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"burdockyard"
)

// Table is one configuration, prepared for look-ups. It is immutable.
type Table struct {
	config *burdockyard.RouteConfig
	byHost map[string][]*burdockyard.Route // longest prefix first
}

// NewTable prepares a configuration.
func NewTable(c *burdockyard.RouteConfig) *Table {
	t := &Table{config: c, byHost: map[string][]*burdockyard.Route{}}
	for _, r := range c.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *burdockyard.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns what callers may send.
func (t *Table) Limits() burdockyard.Limits { return t.config.Limits }

// Service returns a service of the configuration, or nil.
func (t *Table) Service(name string) *burdockyard.ServiceSpec { return t.config.Services[name] }

// Services returns the services, ordered by name.
func (t *Table) Services() []*burdockyard.ServiceSpec {
	return slices.SortedFunc(maps.Values(t.config.Services), func(a, b *burdockyard.ServiceSpec) int { return strings.Compare(a.Name, b.Name) })
}

// Match returns the route with the longest prefix that begins the path, or nil.
// The host may carry a port.
func (t *Table) Match(host, path string) *burdockyard.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService returns one of the route's services by their weights. draw is
// uniform in [0, 1).
func PickService(r *burdockyard.Route, draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	left := draw * float64(total)
	for _, s := range r.Shares {
		if left -= float64(max(s.Weight, 0)); left < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// Follower holds the newest configuration that this process has seen. mu is a
// leaf lock.
type Follower struct {
	mu    sync.RWMutex
	table *Table
}

// Offer takes a configuration into force unless one as new is in force already.
func (f *Follower) Offer(c *burdockyard.RouteConfig) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil && c.Version <= f.table.Version() {
		return false
	}
	f.table = NewTable(c)
	return true
}

// Current returns the configuration in force, or nil before the first one.
func (f *Follower) Current() *Table {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.table
}
