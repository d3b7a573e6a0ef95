// Package byproof holds the proofs of what must always hold: every fault at
// every call of every scenario, in virtual time, by the decisions of core alone.
// All of it is test code.
//
// # Usage
//
//	go test ./core/byproof                     # a fixed sample of the steps
//	BURDOCK_FAULTS=full go test ./core/byproof # every step; make faults
//
// A scenario runs a few nodes made of the real parts against fakes at the
// interfaces of the root package. The fakes count the calls of all nodes and
// apply one fault at the k-th, for every k until none fires.
package byproof
