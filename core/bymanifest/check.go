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
	maxTokenRate    = 10_000_000     // tokens per second on one engine
	maxStreams      = 100_000        // concurrent streams of one engine or tenant
	maxPromptTokens = 100_000_000    // tokens in one prompt
	maxWeight       = 1_000_000      // weight of one tenant
	maxQueueLength  = 1_000_000      // queued calls in one class
	maxPriority     = 100            // absolute value
	maxClassTime    = 24 * time.Hour // deadline or first-token limit of a class
)

// Problem is one validation error in a manifest.
type Problem struct {
	Path    string // field path, such as engines[2].model
	Message string // what is wrong
	Fix     string // how to fix it
}

// Error implements the error interface.
func (p Problem) Error() string { return p.Path + ": " + p.Message + "; " + p.Fix }

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
	c.checkName("name", s.Name)
	models := c.checkModels(s.Models)
	c.checkEngines(s.Engines, models)
	c.checkServices(s.Services)
	c.checkClasses(s.Classes)
	c.checkTenants(s.Tenants)
	return c.problems
}

func (c *checker) addProblem(path, message, fix string) {
	c.problems = append(c.problems, Problem{Path: path, Message: message, Fix: fix})
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.addProblem(path, fmt.Sprintf("%q is not a name", name), "use 1 to 64 letters, digits, '.', '_' or '-'")
	}
}

// checkUniqueName validates a name and adds a problem if seen already holds it.
// Otherwise it records the name in seen.
func (c *checker) checkUniqueName(seen map[string]string, path, name string) {
	c.checkName(path, name)
	if first, ok := seen[name]; ok {
		c.addProblem(path, fmt.Sprintf("%q is already the name of %s", name, first), "give each its own name")
		return
	}
	seen[name] = strings.TrimSuffix(path, ".name")
}

func (c *checker) checkRange(path string, n, low, high int) {
	if n < low || n > high {
		c.addProblem(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("use %d to %d", low, high))
	}
}

func (c *checker) checkDuration(path string, d time.Duration) {
	if d <= 0 || d > maxClassTime {
		c.addProblem(path, fmt.Sprintf("%s is out of range", d), fmt.Sprintf("use more than 0s, up to %s", maxClassTime))
	}
}

func (c *checker) checkOneOf(path, got string, allowed ...string) {
	for _, value := range allowed {
		if got == value {
			return
		}
	}
	c.addProblem(path, fmt.Sprintf("%q is not allowed", got), "use "+strings.Join(allowed, ", "))
}

func (c *checker) checkNotEmpty(path string, n int) {
	if n == 0 {
		c.addProblem(path, "the list is empty", "name at least one")
	}
}

func (c *checker) checkModels(models []ModelSpec) map[string]bool {
	c.checkNotEmpty("models", len(models))
	seen := map[string]string{}
	known := map[string]bool{}
	for i, m := range models {
		path := fmt.Sprintf("models[%d]", i)
		c.checkUniqueName(seen, path+".name", m.Name)
		c.checkName(path+".version", m.Version)
		c.checkRange(path+".prefill_rate", m.PrefillRate, 1, maxTokenRate)
		c.checkRange(path+".decode_rate", m.DecodeRate, 1, maxTokenRate)
		c.checkRange(path+".max_streams", m.MaxStreams, 1, maxStreams)
		c.checkRange(path+".max_prompt", m.MaxPrompt, 1, maxPromptTokens)
		adapters := map[string]string{}
		for j, a := range m.Adapters {
			c.checkUniqueName(adapters, fmt.Sprintf("%s.adapters[%d]", path, j), a)
		}
		known[m.Name] = true
	}
	return known
}

func (c *checker) checkEngines(engines []EngineSpec, models map[string]bool) {
	c.checkNotEmpty("engines", len(engines))
	for i, e := range engines {
		path := fmt.Sprintf("engines[%d]", i)
		c.checkEndpoint(path, e.Name, e.Address, e.Domain, e.State)
		c.checkOneOf(path+".role", e.Role, string(burdockyard.RoleMixed), string(burdockyard.RolePrefill), string(burdockyard.RoleDecode))
		if !models[e.Model] {
			c.addProblem(path+".model", fmt.Sprintf("no model %q is described", e.Model), "add it under models, or correct the name")
		}
	}
}

func (c *checker) checkEndpoint(path, name, address, domain, state string) {
	c.checkUniqueName(c.endpoints, path+".name", name)
	c.checkName(path+".domain", domain)
	c.checkAddress(path+".address", address)
	if state != "" {
		c.checkOneOf(path+".state", state, StateServing, StateDrained, StateWithdrawn)
	}
}

func (c *checker) checkAddress(path, address string) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil || addrPort.Port() == 0 {
		c.addProblem(path, fmt.Sprintf("%q is not an address", address), "use an IP number and a port, such as 10.0.0.1:9000")
		return
	}
	if first, ok := c.addresses[address]; ok {
		c.addProblem(path, fmt.Sprintf("%s is already the address of %s", address, first), "give each endpoint its own address")
		return
	}
	c.addresses[address] = strings.TrimSuffix(path, ".address")
}

func (c *checker) checkServices(services []ServiceSpec) {
	seen := map[string]string{}
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkUniqueName(seen, path+".name", s.Name)
		c.checkNotEmpty(path+".endpoints", len(s.Endpoints))
		for j, e := range s.Endpoints {
			c.checkEndpoint(fmt.Sprintf("%s.endpoints[%d]", path, j), e.Name, e.Address, e.Domain, e.State)
		}
		for j, r := range s.Repeatable {
			callPath := fmt.Sprintf("%s.repeatable[%d]", path, j)
			c.checkOneOf(callPath+".method", r.Method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
			if !strings.HasPrefix(r.Path, "/") {
				c.addProblem(callPath+".path", fmt.Sprintf("%q is not a path", r.Path), "start the path with /")
			}
		}
	}
}

func (c *checker) checkClasses(classes []ClassSpec) {
	c.checkNotEmpty("classes", len(classes))
	seen := map[string]string{}
	for i, cl := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		c.checkUniqueName(seen, path+".name", cl.Name)
		c.checkRange(path+".priority", cl.Priority, -maxPriority, maxPriority)
		c.checkDuration(path+".first_token", cl.FirstToken)
		c.checkDuration(path+".deadline", cl.Deadline)
		c.checkRange(path+".queue", cl.MaxQueued, 1, maxQueueLength)
		if cl.FirstToken > cl.Deadline {
			c.addProblem(path+".first_token", "is longer than the deadline", "make it shorter, or the deadline longer")
		}
	}
}

func (c *checker) checkTenants(tenants []TenantSpec) {
	c.checkNotEmpty("tenants", len(tenants))
	seen := map[string]string{}
	for i, t := range tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		c.checkUniqueName(seen, path+".name", t.Name)
		c.checkRange(path+".weight", t.Weight, 1, maxWeight)
		c.checkRange(path+".streams", t.MaxOpenCalls, 0, maxStreams)
	}
}
