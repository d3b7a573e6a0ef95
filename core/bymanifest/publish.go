// Package bymanifest describes what the system serves, checks it, and takes a
// new version of it into force everywhere, never back.
//
// # Usage
//
//	problems := bymanifest.Check(spec)
//	accepted, err := bymanifest.Publish(ctx, table, objects, spec, bymanifest.AnyGeneration)
//	hand accepted.Wire to the nodes, so that an outage of the table delays nobody
//
//	f := bymanifest.NewFollower(table, objects, clock)
//	for each tick { f.Step(ctx) }
//	m := f.Current()
//	if !f.Fresh() { … start nothing by it … }
//
// # Rows and objects
//
// Each section of a manifest is an object named by the hash of its content. The
// row manifest/current names the sections of the generation in force, and the
// operators' overrides of single endpoints, which outlast a publication.
package bymanifest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

// CurrentKey is the row that names the manifest in force.
const CurrentKey = "manifest/current"

// AnyGeneration publishes whatever generation is in force.
const AnyGeneration = ^uint64(0)

const (
	maxPublishTries = 8
	sectionPrefix   = "manifest/"
)

// Sentinel errors of a publication.
var (
	// ErrGeneration means that the generation in force is not the expected one.
	ErrGeneration = merry.Sentinel("another manifest is in force")
	// ErrProblems means that the manifest has problems.
	ErrProblems = merry.Sentinel("the manifest has problems")
	// ErrNoManifest means that none was ever published.
	ErrNoManifest = merry.Sentinel("no manifest is published")
	// ErrNoEndpoint means that the manifest has no such endpoint.
	ErrNoEndpoint = merry.Sentinel("no such endpoint")
)

// pointer is the value of manifest/current.
type pointer struct {
	Generation uint64            `json:"generation"`
	Token      string            `json:"token"`    // of the publication that wrote it
	Sections   map[string]string `json:"sections"` // section to object key
	Overrides  map[string]string `json:"overrides,omitempty"`
}

// sections splits a Spec so that a change of one part moves only that part.
func sections(s Spec) map[string]any {
	return map[string]any{
		"name": s.Name, "models": s.Models, "engines": s.Engines,
		"services": s.Services, "classes": s.Classes, "tenants": s.Tenants,
	}
}

// Publish checks a Spec and takes it into force after the expected generation.
// ErrGeneration names the generation in force;
// any other error leaves it open whether the manifest was accepted.
func Publish(ctx context.Context, table burdockyard.Table, objects burdockyard.ObjectStore, s Spec, expect uint64) (Accepted, error) {
	if problems := Check(s); len(problems) > 0 {
		return Accepted{}, merry.Prependf(ErrProblems, "%v", problems[0])
	}
	names, content, err := putSections(ctx, objects, s)
	if err != nil {
		return Accepted{}, err
	}
	return update(ctx, table, expect, func(p *pointer) (map[string][]byte, error) {
		p.Sections = names
		for id := range p.Overrides {
			if !hasEndpoint(s, id) {
				delete(p.Overrides, id)
			}
		}
		return content, nil
	})
}

// SetState overrides the state of one endpoint, until it is set back to
// serving or the endpoint leaves the manifest.
func SetState(ctx context.Context, table burdockyard.Table, objects burdockyard.ObjectStore, id, state string) (Accepted, error) {
	return update(ctx, table, AnyGeneration, func(p *pointer) (map[string][]byte, error) {
		content := map[string][]byte{}
		s, err := fetch(ctx, objects, *p, content)
		if err != nil {
			return nil, err
		}
		if !hasEndpoint(s, id) {
			return nil, merry.Prepend(ErrNoEndpoint, id)
		}
		if p.Overrides == nil {
			p.Overrides = map[string]string{}
		}
		p.Overrides[id] = state
		if state == StateServing {
			delete(p.Overrides, id)
		}
		return content, nil
	})
}

// Replace gives an endpoint another address. Nodes send new calls to the new
// one from the accepted generation on, while calls that are open at the
// old one end there.
func Replace(ctx context.Context, table burdockyard.Table, objects burdockyard.ObjectStore, id, address string) (Accepted, error) {
	return update(ctx, table, AnyGeneration, func(p *pointer) (map[string][]byte, error) {
		s, err := fetch(ctx, objects, *p, map[string][]byte{})
		if err != nil {
			return nil, err
		}
		if !setAddress(&s, id, address) {
			return nil, merry.Prepend(ErrNoEndpoint, id)
		}
		if problems := Check(s); len(problems) > 0 {
			return nil, merry.Prependf(ErrProblems, "%v", problems[0])
		}
		names, content, err := putSections(ctx, objects, s)
		p.Sections = names
		return content, err
	})
}

func setAddress(s *Spec, id, address string) bool {
	for i := range s.Engines {
		if s.Engines[i].Name == id {
			s.Engines[i].Address = address
			return true
		}
	}
	for _, svc := range s.Services {
		for j := range svc.Endpoints {
			if svc.Endpoints[j].Name == id {
				svc.Endpoints[j].Address = address
				return true
			}
		}
	}
	return false
}

// putSections stores the sections and returns their keys by name and their
// content by key.
func putSections(ctx context.Context, objects burdockyard.ObjectStore, s Spec) (map[string]string, map[string][]byte, error) {
	names, content := map[string]string{}, map[string][]byte{}
	for name, part := range sections(s) {
		data, err := json.Marshal(part)
		if err != nil {
			return nil, nil, err
		}
		sum := sha256.Sum256(data)
		key := sectionPrefix + name + "-" + hex.EncodeToString(sum[:])
		if err := objects.Put(ctx, key, data); err != nil {
			return nil, nil, merry.Prepend(err, "storing a section")
		}
		names[name] = key
		content[key] = data
	}
	return names, content, nil
}

// changeFunc changes a pointer and returns the content of its sections.
type changeFunc func(*pointer) (map[string][]byte, error)

// update moves manifest/current one generation on. A lost answer is settled by
// the token: while our token stands in the row, or the row is as it was, the
// outcome is certain. If another publication already stands there, ours may
// have been accepted and followed, which the error says.
func update(ctx context.Context, table burdockyard.Table, expect uint64, change changeFunc) (Accepted, error) {
	own := map[string]bool{} // tokens of our tries, one of which may land late
	var last map[string][]byte
	for range maxPublishTries {
		p, version, err := readPointer(ctx, table)
		if err != nil {
			return Accepted{}, err
		}
		if own[p.Token] {
			return accepted(p, last)
		}
		if expect != AnyGeneration && p.Generation != expect {
			return Accepted{}, merry.Prependf(ErrGeneration, "expected %d, but generation %d is in force", expect, p.Generation)
		}
		sections, err := change(&p)
		if err != nil {
			return Accepted{}, err
		}
		p.Generation++
		p.Token = string(burdockyard.NewRequestID())
		own[p.Token] = true
		last = sections
		done, err := commitPointer(ctx, table, p, version)
		if err != nil {
			return Accepted{}, err
		}
		if done {
			return accepted(p, sections)
		}
	}
	return Accepted{}, merry.Prepend(burdockyard.ErrConflict, "other publications kept coming first")
}

// Accepted is a manifest that was taken into force.
type Accepted struct {
	Generation uint64
	Wire       Wire // for handing it to the nodes
}

// accepted uses the sections at hand. Reading them back would leave the nodes
// untold just when the platform fails right after the acceptance.
func accepted(p pointer, sections map[string][]byte) (Accepted, error) {
	raw, err := json.Marshal(p)
	return Accepted{Generation: p.Generation, Wire: Wire{Pointer: raw, Sections: sections}}, err
}

// commitPointer reports whether the pointer is in force; false asks for another try.
func commitPointer(ctx context.Context, table burdockyard.Table, p pointer, version uint64) (bool, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return false, err
	}
	err = table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: CurrentKey, Version: version}},
		Writes: []burdockyard.Write{{Key: CurrentKey, Value: value}},
	})
	if err == nil {
		return true, nil
	}
	if errors.Is(err, burdockyard.ErrConflict) {
		return false, nil
	}
	if errors.Is(err, burdockyard.ErrUnavailable) {
		return false, err
	}
	got, gotVersion, readErr := readPointer(ctx, table)
	switch {
	case readErr != nil:
		return false, errors.Join(fmt.Errorf("whether generation %d was accepted is not known", p.Generation), err)
	case got.Token == p.Token:
		return true, nil
	case gotVersion == version:
		return false, nil // a late copy of this commit still fails once we write
	default:
		return false, merry.Prependf(err, "generation %d by another publication is in force; whether ours came before it is not known", got.Generation)
	}
}

func readPointer(ctx context.Context, table burdockyard.Table) (pointer, uint64, error) {
	var p pointer
	rows, err := table.Get(ctx, CurrentKey)
	if err != nil {
		return p, 0, err
	}
	if !rows[0].Exists() {
		return p, 0, nil
	}
	if err := json.Unmarshal(rows[0].Value, &p); err != nil {
		return p, 0, merry.Prepend(err, "row "+CurrentKey)
	}
	return p, rows[0].Version, nil
}

func hasEndpoint(s Spec, id string) bool {
	for _, e := range s.Engines {
		if e.Name == id {
			return true
		}
	}
	for _, svc := range s.Services {
		for _, e := range svc.Endpoints {
			if e.Name == id {
				return true
			}
		}
	}
	return false
}

// fetch reads the sections of a pointer into cache, which may hold some of them.
func fetch(ctx context.Context, objects burdockyard.ObjectStore, p pointer, cache map[string][]byte) (Spec, error) {
	var s Spec
	into := map[string]any{
		"name": &s.Name, "models": &s.Models, "engines": &s.Engines,
		"services": &s.Services, "classes": &s.Classes, "tenants": &s.Tenants,
	}
	for name, key := range p.Sections {
		data, ok := cache[key]
		if !ok {
			var err error
			if data, err = objects.Get(ctx, key); err != nil {
				return s, merry.Prependf(err, "section %s", name)
			}
		}
		cache[key] = data
		if err := json.Unmarshal(data, into[name]); err != nil {
			return s, merry.Prependf(err, "section %s", name)
		}
	}
	return s, nil
}

// override returns the Spec with the operators' states in it.
func override(s Spec, states map[string]string) Spec {
	s.Engines = append([]EngineSpec(nil), s.Engines...)
	for i := range s.Engines {
		if state, ok := states[s.Engines[i].Name]; ok {
			s.Engines[i].State = state
		}
	}
	s.Services = append([]ServiceSpec(nil), s.Services...)
	for i := range s.Services {
		eps := append([]ServiceEndpoint(nil), s.Services[i].Endpoints...)
		for j := range eps {
			if state, ok := states[eps[j].Name]; ok {
				eps[j].State = state
			}
		}
		s.Services[i].Endpoints = eps
	}
	return s
}
