// Package byroutes matches requests to routes and prevents the active routing
// configuration from being replaced by an older one.
//
// # Usage
//
//	var active byroutes.ActiveTable
//	active.Update(config)            // read from the store or received from a peer
//	table := active.Current()        // nil before the first configuration
//	route := table.Match(host, path) // nil if no route matches
//	service := byroutes.PickService(route, rand.Float64())
package byroutes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"burdockyard"
	"burdockyard/core/byworkspace"
)

// Table is one routing configuration, indexed for lookups. It is immutable.
type Table struct {
	config     *burdockyard.RouteConfig
	byHost     map[string][]*burdockyard.Route // routes of each host, longest prefix first
	workspaces *byworkspace.Directory
}

// NewTable returns a Table for a configuration, which must not change afterwards.
func NewTable(c *burdockyard.RouteConfig) *Table {
	t := &Table{config: c, byHost: map[string][]*burdockyard.Route{}, workspaces: byworkspace.NewDirectory(c)}
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

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the size and time limits for requests of callers.
func (t *Table) Limits() burdockyard.Limits { return t.config.Limits }

// Workspaces returns the directory of the workspaces.
func (t *Table) Workspaces() *byworkspace.Directory { return t.workspaces }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *burdockyard.ServiceSpec { return t.config.Services[name] }

// Services returns all services, sorted by name.
func (t *Table) Services() []*burdockyard.ServiceSpec {
	return slices.SortedFunc(maps.Values(t.config.Services), func(a, b *burdockyard.ServiceSpec) int { return strings.Compare(a.Name, b.Name) })
}

// StreamTimeouts returns the longest timeout of the resumable streams of each service that
// has any. unlimited stands for routes without a timeout.
func (t *Table) StreamTimeouts(unlimited time.Duration) map[string]time.Duration {
	timeouts := map[string]time.Duration{}
	for _, r := range t.config.Routes {
		if r.Kind != burdockyard.KindStream || !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			timeouts[s.Service] = max(timeouts[s.Service], cmp.Or(r.Timeout, unlimited))
		}
	}
	return timeouts
}

// Match returns the route of the host with the longest prefix of the path, or nil if
// there is none. The host is converted to lower case, and its port is ignored.
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

// PickService selects one of the services of a route in proportion to their weights.
// draw must be a uniform random number in [0, 1).
func PickService(r *burdockyard.Route, draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	rest := draw * float64(total)
	for _, s := range r.Shares {
		if rest -= float64(max(s.Weight, 0)); rest < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// ActiveTable holds the newest configuration that this process has received, which is
// the active one. The zero value is ready for use. Its methods may be called from
// several goroutines; mu is a leaf lock.
type ActiveTable struct {
	mu    sync.RWMutex
	table *Table
}

// Update activates a configuration if it is newer than the active one, and reports
// whether it did.
func (a *ActiveTable) Update(c *burdockyard.RouteConfig) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table != nil && c.Version <= a.table.Version() {
		return false
	}
	a.table = NewTable(c)
	return true
}

// Current returns the table of the active configuration, or nil before the first one.
func (a *ActiveTable) Current() *Table {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.table
}
