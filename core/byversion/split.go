package byversion

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"burdockyard"
)

// maxWeight is the largest sum of the weights of a split. Each unit of weight costs a
// hash for each request.
const maxWeight = 64

// maxShareErrorDivisor is the reciprocal of the difference between the shares of a version
// in the split and in the endpoints that is tolerated.
const maxShareErrorDivisor = 6

// Split divides the IDs of requests among the software versions of a service, in
// proportion to integer weights. It is immutable. The zero value divides nothing.
type Split struct {
	shares []share // ordered by version
	total  int     // sum of the weights
}

type share struct {
	version string
	weight  int
}

// NewSplit returns a split with the given weights. Versions without a positive weight are
// left out.
func NewSplit(weights map[string]int) Split {
	var s Split
	for _, version := range slices.Sorted(maps.Keys(weights)) {
		if w := weights[version]; w > 0 {
			s.shares = append(s.shares, share{version, w})
			s.total += w
		}
	}
	return s
}

// SplitByCapacity returns a split by the numbers of endpoints, scaled down if they are
// many. Each version gets a weight of at least one.
func SplitByCapacity(endpoints map[string]int) Split {
	total := 0
	for _, n := range endpoints {
		total += max(n, 0)
	}
	if total <= maxWeight {
		return NewSplit(endpoints)
	}
	weights := map[string]int{}
	for version, n := range endpoints {
		if n > 0 {
			weights[version] = max((n*maxWeight+total/2)/total, 1)
		}
	}
	return NewSplit(weights)
}

// IsZero reports whether s divides nothing.
func (s Split) IsZero() bool { return len(s.shares) == 0 }

// Weights returns the weight of each version.
func (s Split) Weights() map[string]int {
	weights := make(map[string]int, len(s.shares))
	for _, sh := range s.shares {
		weights[sh.version] = sh.weight
	}
	return weights
}

// VersionOf returns the version of a request ID, and false if s is the zero value.
//
// Each unit of weight has a score for the ID, and the highest one wins. So a change of
// weights moves only IDs that go to a version which has gained, or come from one which
// has lost. All arithmetic is on integers, so that nodes on different processors agree.
func (s Split) VersionOf(id burdockyard.RequestID) (version string, ok bool) {
	return s.versionOfHash(xxhash.Sum64String(string(id)))
}

// versionOfHash is like VersionOf for the hash of an ID.
func (s Split) versionOfHash(idHash uint64) (version string, ok bool) {
	if len(s.shares) == 1 {
		return s.shares[0].version, true
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], idHash)
	var best uint64
	for _, sh := range s.shares {
		versionHash := xxhash.Sum64String(sh.version)
		for unit := range sh.weight {
			binary.LittleEndian.PutUint64(buf[8:], versionHash+uint64(unit))
			if score := xxhash.Sum64(buf[:]); !ok || score > best {
				version, best, ok = sh.version, score, true
			}
		}
	}
	return version, ok
}

// weight returns the weight of a version, zero if s lacks it.
func (s Split) weight(version string) int {
	for _, sh := range s.shares {
		if sh.version == version {
			return sh.weight
		}
	}
	return 0
}

// lacks reports whether a version of s is not in other.
func (s Split) lacks(other Split) bool {
	return slices.ContainsFunc(s.shares, func(sh share) bool { return other.weight(sh.version) == 0 })
}

// differsFrom reports whether the shares of s and other differ so much that it is worth
// moving IDs: a version is in only one of them, or the share of one differs by more than
// 1/maxShareErrorDivisor.
func (s Split) differsFrom(other Split) bool {
	if len(s.shares) != len(other.shares) {
		return true
	}
	for _, sh := range s.shares {
		otherWeight := other.weight(sh.version)
		// Cross-multiplied so that shares of different totals compare as integers.
		difference := sh.weight*other.total - otherWeight*s.total
		if otherWeight == 0 || max(difference, -difference)*maxShareErrorDivisor > s.total*other.total {
			return true
		}
	}
	return false
}
