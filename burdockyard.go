// Package burdockyard defines what all packages of the system share: identifiers,
// sentinel errors, and the interfaces whose implementation differs between a real
// deployment, a simulated environment and a test.
//
// # Usage
//
// Packages below core/ make the decisions and depend on these interfaces only;
// packages below io/ implement them. Supporting a new platform or engine protocol
// means adding a package to io/ without changing core/:
//
//	table := byplatform.New("http://10.0.0.1:7000")   // burdockyard.Table
//	executor := bybooking.New(table, clock, self)     // depends on no protocol
//
// Messages that cross an interface are plain structs. Types with invariants (a
// manifest, a lease grant, a booking claim) keep their fields unexported and are
// read through accessors.
package burdockyard

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// NodeID identifies an entry node. It comes from the node's settings and is the
// same after a restart.
type NodeID string

// Incarnation is a random identifier of one process start, so that two starts of
// the same node can be told apart.
type Incarnation string

// EndpointID identifies a model engine or one endpoint of a service.
type EndpointID string

// ShardID identifies a group of engines of one model in one failure domain. Only
// the holder of the shard's lease gives orders to them.
type ShardID string

// Tenant is the name of a tenant in the manifest.
type Tenant string

// RequestID identifies one call of one caller. Every response of an engine
// carries the ID of the call that it belongs to.
type RequestID string

// randomIDBytes is the number of random bytes in an incarnation or a request ID.
const randomIDBytes = 8

// NewIncarnation returns a new random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(randomHex(randomIDBytes))
}

// NewRequestID returns a new random request ID.
func NewRequestID() RequestID {
	return RequestID(randomHex(randomIDBytes))
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never returns an error
	return hex.EncodeToString(b)
}

// Member identifies one running process of a node.
type Member struct {
	Node        NodeID      `json:"node"`
	Incarnation Incarnation `json:"incarnation"`
	Addr        string      `json:"addr"` // host:port where the node serves its peers
}

// Clock returns the current time. Only differences between times of one clock are
// meaningful; times of two VMs' clocks are never compared.
type Clock interface {
	Now() time.Time
}

// SyncClock is a Clock that does not know of time for which the VM was suspended until Sync
// is called.
type SyncClock interface {
	Clock
	Sync()
}

// SystemClock is a Clock that reads the system time with Go's monotonic clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
