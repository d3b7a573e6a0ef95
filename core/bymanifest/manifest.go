package bymanifest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"burdockyard"
)

// maxShardEngines is the largest number of engines in one shard. It limits how
// many engines the holder of one lease sends orders to.
const maxShardEngines = 30

// Engine is one model engine of an accepted manifest.
type Engine struct {
	spec  EngineSpec
	model ModelSpec
	shard burdockyard.ShardID
}

// ID returns the engine's name.
func (e *Engine) ID() burdockyard.EndpointID { return burdockyard.EndpointID(e.spec.Name) }

// Addr returns the engine's address as host:port.
func (e *Engine) Addr() string { return e.spec.Address }

// Domain returns the engine's failure domain.
func (e *Engine) Domain() string { return e.spec.Domain }

// Model returns the description of the engine's model.
func (e *Engine) Model() ModelSpec { return e.model }

// Shard returns the shard whose lease holder sends orders to the engine.
func (e *Engine) Shard() burdockyard.ShardID { return e.shard }

// EnforcesFencing reports whether the engine rejects orders with an outdated
// fencing number.
func (e *Engine) EnforcesFencing() bool { return e.spec.EnforcesFencing }

// Role returns the role that the manifest assigns to the engine.
func (e *Engine) Role() burdockyard.Role { return burdockyard.Role(e.spec.Role) }

// Serving reports whether the engine may receive new work.
func (e *Engine) Serving() bool { return e.spec.State == "" || e.spec.State == StateServing }

// State returns the state that the engine should be ordered into.
func (e *Engine) State() burdockyard.EngineState {
	return burdockyard.EngineState{
		Model: e.model.Name, Version: e.model.Version, Adapters: e.model.Adapters,
		Role: e.Role(), Serving: e.Serving(),
	}
}

// Service is one plain service of an accepted manifest.
type Service struct{ spec ServiceSpec }

// Endpoints returns the endpoints that may receive new work.
func (s *Service) Endpoints() []ServiceEndpoint {
	var serving []ServiceEndpoint
	for _, e := range s.spec.Endpoints {
		if e.State == "" || e.State == StateServing {
			serving = append(serving, e)
		}
	}
	return serving
}

// Repeatable reports whether a call may safely be sent more than once. If the
// manifest lists no repeatable calls for the service, GET and HEAD calls are
// repeatable.
func (s *Service) Repeatable(method, path string) bool {
	if len(s.spec.Repeatable) == 0 {
		return method == "GET" || method == "HEAD"
	}
	for _, r := range s.spec.Repeatable {
		if r.Method == method && isUnderPath(path, r.Path) {
			return true
		}
	}
	return false
}

// isUnderPath reports whether path equals prefix or lies below it. A plain string
// prefix test would match /slots-cancel against the prefix /slots.
func isUnderPath(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Manifest is an accepted manifest, indexed for lookups. It is immutable.
type Manifest struct {
	spec       Spec
	generation uint64
	engines    []*Engine
	byID       map[burdockyard.EndpointID]*Engine
	byModel    map[string][]*Engine
	services   map[string]*Service
	classes    map[string]ClassSpec
	tenants    map[burdockyard.Tenant]TenantSpec
}

// New returns the Manifest of a Spec for which Check found no problems.
func New(s Spec, generation uint64) *Manifest {
	m := &Manifest{
		spec: s, generation: generation, byID: map[burdockyard.EndpointID]*Engine{}, byModel: map[string][]*Engine{},
		services: map[string]*Service{}, classes: map[string]ClassSpec{},
		tenants: map[burdockyard.Tenant]TenantSpec{},
	}
	m.addEngines()
	for _, svc := range s.Services {
		m.services[svc.Name] = &Service{spec: svc}
	}
	for _, c := range s.Classes {
		m.classes[c.Name] = c
	}
	for _, t := range s.Tenants {
		m.tenants[burdockyard.Tenant(t.Name)] = t
	}
	return m
}

// addEngines indexes the engines and assigns them to shards in file order, so
// that appending an engine does not move any other engine to another shard.
func (m *Manifest) addEngines() {
	models := map[string]ModelSpec{}
	for _, model := range m.spec.Models {
		models[model.Name] = model
	}
	groupSizes := map[string]int{}
	for _, spec := range m.spec.Engines {
		group := spec.Model + "/" + spec.Domain
		shard := burdockyard.ShardID(fmt.Sprintf("%s/%d", group, groupSizes[group]/maxShardEngines))
		groupSizes[group]++
		e := &Engine{spec: spec, model: models[spec.Model], shard: shard}
		m.engines = append(m.engines, e)
		m.byID[e.ID()] = e
		m.byModel[spec.Model] = append(m.byModel[spec.Model], e)
	}
}

// Generation returns the generation in which the manifest was accepted.
func (m *Manifest) Generation() uint64 { return m.generation }

// Spec returns the Spec from which the Manifest was made.
func (m *Manifest) Spec() Spec { return m.spec }

// Name returns the manifest's name.
func (m *Manifest) Name() string { return m.spec.Name }

// Engines returns all engines in file order.
func (m *Manifest) Engines() []*Engine { return m.engines }

// Engine returns the engine with the given id.
func (m *Manifest) Engine(id burdockyard.EndpointID) (*Engine, bool) {
	e, ok := m.byID[id]
	return e, ok
}

// ModelEngines returns all engines of a model, whether they are serving or not.
func (m *Manifest) ModelEngines(model string) []*Engine { return m.byModel[model] }

// Service returns the service with the given name.
func (m *Manifest) Service(name string) (*Service, bool) {
	s, ok := m.services[name]
	return s, ok
}

// Class returns the class with the given name, or the first class if name is
// empty.
func (m *Manifest) Class(name string) (ClassSpec, bool) {
	if name == "" {
		return m.spec.Classes[0], true
	}
	c, ok := m.classes[name]
	return c, ok
}

// Tenant returns the tenant with the given name.
func (m *Manifest) Tenant(name burdockyard.Tenant) (TenantSpec, bool) {
	t, ok := m.tenants[name]
	return t, ok
}

// Shard is a group of engines that are controlled under one lease.
type Shard struct {
	ID      burdockyard.ShardID
	Domain  string
	Engines []*Engine
}

// Shards returns all shards, ordered by id.
func (m *Manifest) Shards() []Shard {
	index := map[burdockyard.ShardID]int{}
	var shards []Shard
	for _, e := range m.engines {
		i, ok := index[e.shard]
		if !ok {
			i = len(shards)
			index[e.shard] = i
			shards = append(shards, Shard{ID: e.shard, Domain: e.Domain()})
		}
		shards[i].Engines = append(shards[i].Engines, e)
	}
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	return shards
}
