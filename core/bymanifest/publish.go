// Package bymanifest describes, validates and publishes the manifest: the
// models, engines, services, request classes and tenants that the system
// serves. Each accepted manifest has a generation, and a node never replaces a
// manifest with one of an older generation.
//
// # Usage
//
//	problems := bymanifest.Check(spec)
//	result, err := bymanifest.Publish(ctx, table, objects, spec, bymanifest.AnyGeneration)
//	// send result.Encoded to the nodes, so that a table outage does not delay them
//
//	f := bymanifest.NewFollower(table, objects, clock)
//	for each tick { f.Refresh(ctx) }
//	m := f.Current()
//	if !f.Fresh() { … start no work based on m … }
//
// # Rows and objects
//
// Each section of a manifest is stored as an object whose key holds the hash of
// its content. The row manifest/current holds the object keys of the current
// generation's sections, and the operators' state overrides of single endpoints.
// Overrides stay when a new manifest is published.
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

// CurrentKey is the key of the row that points to the current manifest.
const CurrentKey = "manifest/current"

// AnyGeneration tells Publish to accept any current generation.
const AnyGeneration = ^uint64(0)

const (
	maxPublishAttempts = 8
	sectionKeyPrefix   = "manifest/"
)

// Sentinel errors of this package.
var (
	// ErrGenerationMismatch means that the current generation is not the expected
	// one.
	ErrGenerationMismatch = merry.Sentinel("another manifest is in force")
	// ErrInvalidManifest means that Check found problems in the manifest.
	ErrInvalidManifest = merry.Sentinel("the manifest has problems")
	// ErrNoManifest means that no manifest has been published yet.
	ErrNoManifest = merry.Sentinel("no manifest is published")
	// ErrUnknownEndpoint means that the manifest has no endpoint of the given
	// name.
	ErrUnknownEndpoint = merry.Sentinel("no such endpoint")
)

// pointer is the value of the row manifest/current.
type pointer struct {
	Generation uint64            `json:"generation"`
	Token      string            `json:"token"`               // unique id of the commit attempt that wrote this value
	Sections   map[string]string `json:"sections"`            // section name to object key
	Overrides  map[string]string `json:"overrides,omitempty"` // endpoint name to state
}

// sectionsByName splits a Spec into its sections, so that a change to one
// section requires nodes to fetch only that section.
func sectionsByName(s Spec) map[string]any {
	return map[string]any{
		"name": s.Name, "models": s.Models, "engines": s.Engines,
		"services": s.Services, "classes": s.Classes, "tenants": s.Tenants,
	}
}

// Publish validates a Spec and makes it the current manifest if the current
// generation is the expected one. With AnyGeneration it does so whatever the
// current generation is. If the generation differs, Publish returns an error
// that wraps ErrGenerationMismatch and names the current generation. If the Spec
// is not valid, the error wraps ErrInvalidManifest. After any other error it is
// unknown whether the manifest was accepted.
func Publish(ctx context.Context, table burdockyard.Table, objects burdockyard.ObjectStore, s Spec, expect uint64) (PublishResult, error) {
	if problems := Check(s); len(problems) > 0 {
		return PublishResult{}, merry.Prependf(ErrInvalidManifest, "%v", problems[0])
	}
	keys, content, err := putSections(ctx, objects, s)
	if err != nil {
		return PublishResult{}, err
	}
	return updatePointer(ctx, table, expect, func(p *pointer) (map[string][]byte, error) {
		p.Sections = keys
		for id := range p.Overrides {
			if !hasEndpoint(s, id) {
				delete(p.Overrides, id)
			}
		}
		return content, nil
	})
}

// SetEndpointState overrides the state of one endpoint. The override lasts until
// the state is set to StateServing or a published manifest lacks the endpoint.
func SetEndpointState(ctx context.Context, table burdockyard.Table, objects burdockyard.ObjectStore, id, state string) (PublishResult, error) {
	return updatePointer(ctx, table, AnyGeneration, func(p *pointer) (map[string][]byte, error) {
		content := map[string][]byte{}
		s, err := fetchSpec(ctx, objects, *p, content)
		if err != nil {
			return nil, err
		}
		if !hasEndpoint(s, id) {
			return nil, merry.Prepend(ErrUnknownEndpoint, id)
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

// SetEndpointAddress changes the address of an endpoint. From the accepted
// generation on, nodes send new calls to the new address, while calls in progress
// finish at the old one.
func SetEndpointAddress(ctx context.Context, table burdockyard.Table, objects burdockyard.ObjectStore, id, address string) (PublishResult, error) {
	return updatePointer(ctx, table, AnyGeneration, func(p *pointer) (map[string][]byte, error) {
		s, err := fetchSpec(ctx, objects, *p, map[string][]byte{})
		if err != nil {
			return nil, err
		}
		if !updateAddress(&s, id, address) {
			return nil, merry.Prepend(ErrUnknownEndpoint, id)
		}
		if problems := Check(s); len(problems) > 0 {
			return nil, merry.Prependf(ErrInvalidManifest, "%v", problems[0])
		}
		keys, content, err := putSections(ctx, objects, s)
		p.Sections = keys
		return content, err
	})
}

// updateAddress changes the address of an endpoint and reports whether the Spec
// has that endpoint.
func updateAddress(s *Spec, id, address string) bool {
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

// putSections stores the sections of a Spec. It returns the object keys by
// section name and the contents by object key.
func putSections(ctx context.Context, objects burdockyard.ObjectStore, s Spec) (map[string]string, map[string][]byte, error) {
	keys, content := map[string]string{}, map[string][]byte{}
	for name, part := range sectionsByName(s) {
		data, err := json.Marshal(part)
		if err != nil {
			return nil, nil, err
		}
		sum := sha256.Sum256(data)
		key := sectionKeyPrefix + name + "-" + hex.EncodeToString(sum[:])
		if err := objects.Put(ctx, key, data); err != nil {
			return nil, nil, merry.Prepend(err, "storing a section")
		}
		keys[name] = key
		content[key] = data
	}
	return keys, content, nil
}

// changeFunc modifies a pointer and returns the contents of its sections by
// object key.
type changeFunc func(*pointer) (map[string][]byte, error)

// updatePointer applies change to the row manifest/current and increments its
// generation.
//
// If the reply to a commit is lost, updatePointer resolves the outcome by reading
// the row. The commit succeeded if the row holds its token, and had no effect if
// the row version is unchanged. If the row holds the token of another
// publication, this one may have been accepted before it and then replaced; the
// error says that the outcome is unknown.
func updatePointer(ctx context.Context, table burdockyard.Table, expect uint64, change changeFunc) (PublishResult, error) {
	ownTokens := map[string]bool{} // tokens of all attempts, because a delayed commit may still be applied
	var lastSections map[string][]byte
	for range maxPublishAttempts {
		p, version, err := readPointer(ctx, table)
		if err != nil {
			return PublishResult{}, err
		}
		if ownTokens[p.Token] {
			return newPublishResult(p, lastSections)
		}
		if expect != AnyGeneration && p.Generation != expect {
			return PublishResult{}, merry.Prependf(ErrGenerationMismatch, "expected %d, but generation %d is in force", expect, p.Generation)
		}
		sections, err := change(&p)
		if err != nil {
			return PublishResult{}, err
		}
		p.Generation++
		p.Token = string(burdockyard.NewRequestID())
		ownTokens[p.Token] = true
		lastSections = sections
		committed, err := commitPointer(ctx, table, p, version)
		if err != nil {
			return PublishResult{}, err
		}
		if committed {
			return newPublishResult(p, sections)
		}
	}
	return PublishResult{}, merry.Prepend(burdockyard.ErrConflict, "every attempt lost to another publication")
}

// PublishResult is the result of a publication that became the current manifest.
type PublishResult struct {
	Generation uint64
	Encoded    EncodedManifest // encoding to send to the nodes
}

// newPublishResult encodes the manifest from the sections in memory. Reading them
// back from the object store could fail if the platform goes down right after the
// commit, and the nodes would then not be told about the new manifest.
func newPublishResult(p pointer, sections map[string][]byte) (PublishResult, error) {
	raw, err := json.Marshal(p)
	return PublishResult{Generation: p.Generation, Encoded: EncodedManifest{Pointer: raw, Sections: sections}}, err
}

// commitPointer writes p if the row still has the given version, and reports
// whether p was written. If it returns false and no error, the caller should
// retry.
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
		return false, errors.Join(fmt.Errorf("outcome of publishing generation %d is unknown", p.Generation), err)
	case got.Token == p.Token:
		return true, nil
	case gotVersion == version:
		return false, nil // a delayed copy of this commit will fail its version check after the retry's write
	default:
		return false, merry.Prependf(err, "generation %d of another publication is in force; it is unknown whether this publication was accepted before it", got.Generation)
	}
}

// readPointer returns the pointer and its row version, which is 0 if no manifest
// has been published.
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
		return p, 0, merry.Prepend(err, "decoding row "+CurrentKey)
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

// fetchSpec returns the Spec that p points to. It reads the sections that are not
// in cache from the object store and adds them to cache.
func fetchSpec(ctx context.Context, objects burdockyard.ObjectStore, p pointer, cache map[string][]byte) (Spec, error) {
	var s Spec
	targets := map[string]any{
		"name": &s.Name, "models": &s.Models, "engines": &s.Engines,
		"services": &s.Services, "classes": &s.Classes, "tenants": &s.Tenants,
	}
	for name, key := range p.Sections {
		data, ok := cache[key]
		if !ok {
			var err error
			if data, err = objects.Get(ctx, key); err != nil {
				return s, merry.Prependf(err, "reading section %s", name)
			}
		}
		cache[key] = data
		if err := json.Unmarshal(data, targets[name]); err != nil {
			return s, merry.Prependf(err, "decoding section %s", name)
		}
	}
	return s, nil
}

// applyOverrides returns a copy of the Spec with the operators' states, keyed by
// endpoint name, applied to its endpoints.
func applyOverrides(s Spec, states map[string]string) Spec {
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
