package byversion

import (
	"cmp"
	"slices"
)

// Former is a split that was active before.
type Former struct {
	Split Split
	// RetiredBy is the sequence number of the record that first had it as a former one.
	RetiredBy uint64
}

// State is what all nodes agree on about one service.
type State struct {
	Active Split // divides new streams
	Next   Split // becomes active as soon as each node knows it; zero if none is to
	// NextSince is the sequence number of the record that announced Next.
	NextSince uint64
	// Formers are the splits under which streams may have begun that still go on.
	Formers []Former
	// UnknownSince is the sequence number of the record that first said that streams may
	// have begun under splits which are not known; zero if there are none.
	UnknownSince uint64
}

// isSettled reports whether every stream that may go on has begun at one version.
func (s State) isSettled() bool {
	return len(s.Active.shares) == 1 && s.Next.IsZero() && len(s.Formers) == 0 && s.UnknownSince == 0
}

// Record is the durable agreement on all services. A record is never changed in place:
// each change has a higher sequence number.
type Record struct {
	Era      uint64 // era of the store in which it was written
	Seq      uint64 // number of the record, which rises with each change
	Services map[string]State
}

// compare orders records by age. Those of a later era of the store are newer.
func (r Record) compare(other Record) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Seq, other.Seq))
}

// clone returns a copy of r that shares no map or slice that Propose changes.
func (r Record) clone() Record {
	services := make(map[string]State, len(r.Services))
	for name, s := range r.Services {
		s.Formers = slices.Clone(s.Formers)
		services[name] = s
	}
	r.Services = services
	return r
}
