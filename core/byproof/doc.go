// Package byproof checks the promises of the system by fault injection: it
// applies every fault at every call of every scenario, in virtual time, and runs
// the decision code of core only. All of it is test code.
//
// # Usage
//
//	go test ./core/byproof                     # a fixed sample of the calls
//	BURDOCK_FAULTS=full go test ./core/byproof # every call; make faults
//
// A scenario runs a few nodes, built from the production packages, against fakes
// of the root package's interfaces. The fakes count the calls of all nodes and
// apply one fault at the k-th call, for every k until the scenario ends before it.
package byproof
