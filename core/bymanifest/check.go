package bymanifest

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"burdockyard"
)

// Upper limits of the numbers in a manifest.
const (
	maxRate     = 10_000_000     // tokens per second on one engine
	maxStreams  = 100_000        // concurrent streams of one engine or tenant
	maxPrompt   = 100_000_000    // tokens in one prompt
	maxWeight   = 1_000_000      // weight of one tenant
	maxQueue    = 1_000_000      // queued calls in one class
	maxPriority = 100            // absolute value
	maxDuration = 24 * time.Hour // deadline or first-token limit of a class
)

// Problem is one validation error in a manifest.
type Problem struct {
	Path string // field path, such as engines[2].model
	What string // what is wrong
	Mend string // how to fix it
}

// Error implements the error interface.
func (p Problem) Error() string { return p.Path + ": " + p.What + "; " + p.Mend }

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62}[A-Za-z0-9])?$`)

// checker validates a Spec and collects the problems that it finds.
type checker struct {
	problems  []Problem
	endpoints map[string]string // endpoint name to the path where it is first used
	addresses map[string]string // endpoint address to the path where it is first used
}

// Check validates a Spec and returns every problem, in the order of the fields
// in a manifest file. It returns nil if the Spec is valid.
func Check(s Spec) []Problem {
	c := &checker{endpoints: map[string]string{}, addresses: map[string]string{}}
	c.name("name", s.Name)
	models := c.models(s.Models)
	c.engines(s.Engines, models)
	c.services(s.Services)
	c.classes(s.Classes)
	c.tenants(s.Tenants)
	return c.problems
}

func (c *checker) add(path, what, mend string) {
	c.problems = append(c.problems, Problem{Path: path, What: what, Mend: mend})
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, fmt.Sprintf("%q is not a name", name), "use 1 to 64 letters, digits, '.', '_' or '-'")
	}
}

// unique validates a name and adds a problem if seen already holds it.
// Otherwise it records the name in seen.
func (c *checker) unique(seen map[string]string, path, name string) {
	c.name(path, name)
	if first, ok := seen[name]; ok {
		c.add(path, fmt.Sprintf("%q is already the name of %s", name, first), "give each its own name")
		return
	}
	seen[name] = strings.TrimSuffix(path, ".name")
}

func (c *checker) number(path string, n, low, high int) {
	if n < low || n > high {
		c.add(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use %d to %d", low, high))
	}
}

func (c *checker) duration(path string, d time.Duration) {
	if d <= 0 || d > maxDuration {
		c.add(path, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("use more than 0s, up to %s", maxDuration))
	}
}

func (c *checker) oneOf(path, got string, allowed ...string) {
	for _, a := range allowed {
		if got == a {
			return
		}
	}
	c.add(path, fmt.Sprintf("%q is not allowed", got), "use "+strings.Join(allowed, ", "))
}

func (c *checker) some(path string, n int) {
	if n == 0 {
		c.add(path, "the list is empty", "name at least one")
	}
}

func (c *checker) models(models []ModelSpec) map[string]bool {
	c.some("models", len(models))
	seen := map[string]string{}
	known := map[string]bool{}
	for i, m := range models {
		at := fmt.Sprintf("models[%d]", i)
		c.unique(seen, at+".name", m.Name)
		c.name(at+".version", m.Version)
		c.number(at+".prefill_rate", m.PrefillRate, 1, maxRate)
		c.number(at+".decode_rate", m.DecodeRate, 1, maxRate)
		c.number(at+".max_streams", m.MaxStreams, 1, maxStreams)
		c.number(at+".max_prompt", m.MaxPrompt, 1, maxPrompt)
		adapters := map[string]string{}
		for j, a := range m.Adapters {
			c.unique(adapters, fmt.Sprintf("%s.adapters[%d]", at, j), a)
		}
		known[m.Name] = true
	}
	return known
}

func (c *checker) engines(engines []EngineSpec, models map[string]bool) {
	c.some("engines", len(engines))
	for i, e := range engines {
		at := fmt.Sprintf("engines[%d]", i)
		c.endpoint(at, e.Name, e.Address, e.Domain, e.State)
		c.oneOf(at+".role", e.Role, string(burdockyard.RoleMixed), string(burdockyard.RolePrefill), string(burdockyard.RoleDecode))
		if !models[e.Model] {
			c.add(at+".model", fmt.Sprintf("no model %q is described", e.Model), "add it under models, or correct the name")
		}
	}
}

func (c *checker) endpoint(at, name, address, domain, state string) {
	c.unique(c.endpoints, at+".name", name)
	c.name(at+".domain", domain)
	c.address(at+".address", address)
	if state != "" {
		c.oneOf(at+".state", state, StateServing, StateDrained, StateWithdrawn)
	}
}

func (c *checker) address(path, address string) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 {
		c.add(path, fmt.Sprintf("%q is not an address", address), "use an IP number and a port, such as 10.0.0.1:9000")
		return
	}
	if first, ok := c.addresses[address]; ok {
		c.add(path, fmt.Sprintf("%s is already the address of %s", address, first), "give each endpoint its own address")
		return
	}
	c.addresses[address] = strings.TrimSuffix(path, ".address")
}

func (c *checker) services(services []ServiceSpec) {
	seen := map[string]string{}
	for i, s := range services {
		at := fmt.Sprintf("services[%d]", i)
		c.unique(seen, at+".name", s.Name)
		c.some(at+".endpoints", len(s.Endpoints))
		for j, e := range s.Endpoints {
			c.endpoint(fmt.Sprintf("%s.endpoints[%d]", at, j), e.Name, e.Address, e.Domain, e.State)
		}
		for j, r := range s.Repeatable {
			path := fmt.Sprintf("%s.repeatable[%d]", at, j)
			c.oneOf(path+".method", r.Method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
			if !strings.HasPrefix(r.Path, "/") {
				c.add(path+".path", fmt.Sprintf("%q is not a path", r.Path), "start the path with /")
			}
		}
	}
}

func (c *checker) classes(classes []ClassSpec) {
	c.some("classes", len(classes))
	seen := map[string]string{}
	for i, cl := range classes {
		at := fmt.Sprintf("classes[%d]", i)
		c.unique(seen, at+".name", cl.Name)
		c.number(at+".priority", cl.Priority, -maxPriority, maxPriority)
		c.duration(at+".first_token", cl.FirstToken)
		c.duration(at+".deadline", cl.Deadline)
		c.number(at+".queue", cl.Queue, 1, maxQueue)
		if cl.FirstToken > cl.Deadline {
			c.add(at+".first_token", "is longer than the deadline", "make it shorter, or the deadline longer")
		}
	}
}

func (c *checker) tenants(tenants []TenantSpec) {
	c.some("tenants", len(tenants))
	seen := map[string]string{}
	for i, t := range tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		c.unique(seen, at+".name", t.Name)
		c.number(at+".weight", t.Weight, 1, maxWeight)
		c.number(at+".streams", t.Streams, 0, maxStreams)
	}
}
