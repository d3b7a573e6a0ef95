// Package burdockyard holds what every part of the system shares: identifiers,
// sentinel errors, and the interfaces of everything that varies between a real
// deployment, a stand-in and a test.
//
// # Usage
//
// Decisions live below core/ and take these interfaces; adapters live below
// io/ and implement them. A new platform or engine protocol is a new package
// in io/ and changes nothing in core/:
//
//	table := byplatform.New("http://10.0.0.1:7000")   // burdockyard.Table
//	desk := bybooking.New(table, self)                // a decision, protocol-free
//
// Messages that cross an interface are plain structs. Aggregates with rules of
// their own (a manifest, a lease grant, a booking claim) keep their fields
// unexported and are read through accessors.
package burdockyard

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// NodeID names an entry node. It is taken from the node's settings and stays
// the same over restarts.
type NodeID string

// Incarnation is a random identifier of one process start. Two starts of the
// same node never share one.
type Incarnation string

// EndpointID names a model engine or one endpoint of a service.
type EndpointID string

// ShardID names a group of engines of one model in one failure domain whose
// orders one lease holder gives.
type ShardID string

// Tenant names a tenant of the manifest.
type Tenant string

// RequestID identifies one call of one caller. Every answer of an engine
// carries it.
type RequestID string

// randomIDBytes is the random length of an incarnation, in bytes.
const randomIDBytes = 8

// NewIncarnation draws a fresh incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(randomHex(randomIDBytes))
}

// NewRequestID draws a fresh request id.
func NewRequestID() RequestID {
	return RequestID(randomHex(randomIDBytes))
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // documented never to fail
	return hex.EncodeToString(b)
}

// Member identifies one running process of a node.
type Member struct {
	Node        NodeID      `json:"node"`
	Incarnation Incarnation `json:"incarnation"`
	Addr        string      `json:"addr"` // host:port of the node's peer service
}

// Clock tells time. Only differences of readings of one clock are meaningful;
// clocks of two VMs are never compared.
type Clock interface {
	Now() time.Time
}

// SystemClock is the process's own monotonic clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
