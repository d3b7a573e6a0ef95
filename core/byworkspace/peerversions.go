package byworkspace

import (
	"sync"
	"time"
)

// PeerVersions limits what readings of the store prove by what peers go by.
//
// A store that has come back from an older copy lacks changes that it had accepted. A reading
// then proves that a node has all that the store holds, and yet a key may be believed that
// was taken away. Peers that have read the lost change still go by it, and name their version
// of the configuration in each heartbeat. So while a peer goes by a newer version than this
// node, nothing counts as proved since the moment at which that was heard. And a node whose
// proof has lapsed, because it has just started, stood still or was cut off, counts on new
// readings only after it has heard its peers.
//
// It is safe for concurrent use; mu is a leaf lock.
type PeerVersions struct {
	mu        sync.Mutex
	newest    uint64    // newest version that a peer goes by
	provenAt  time.Time // what counted as proved when that was heard
	latest    time.Time // newest proof that was seen
	waitsFrom time.Time // when the node began to wait for its peers; zero if it does not wait
	heard     bool      // whether it has heard them since its proof lapsed
}

// maxPeerWait is how long a node waits for its peers. If they cannot be heard, the store is
// all that it can go by.
const maxPeerWait = 1500 * time.Millisecond

// Hear records that a peer goes by a version of the configuration, while this node goes by
// own, and what its readings have proved so far.
func (p *PeerVersions) Hear(version, own uint64, proven time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version > max(p.newest, own) {
		p.provenAt, p.newest = p.limit(proven, own), version
	}
}

// Observe must be called often. proven is what readings have proved, hearsPeers whether this
// node hears its peers now, and lapse the age from which a proof is too old.
func (p *PeerVersions) Observe(now, proven time.Time, hearsPeers bool, lapse time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case proven.Sub(p.latest) >= lapse || now.Sub(proven) >= lapse:
		p.heard, p.waitsFrom = false, now
	case p.heard:
	case hearsPeers || now.Sub(p.waitsFrom) >= maxPeerWait:
		p.heard = true
	}
	p.latest = proven
}

// Limit returns the time up to which all changes of the configuration are known to a node that
// goes by version own, given what its readings have proved.
func (p *PeerVersions) Limit(proven time.Time, own uint64, lapse time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if proven.Sub(p.latest) >= lapse {
		return time.Time{} // the proof has lapsed meanwhile, and Observe has not been called since
	}
	return p.limit(proven, own)
}

// limit implements Limit. The caller must hold mu.
func (p *PeerVersions) limit(proven time.Time, own uint64) time.Time {
	switch {
	case !p.heard:
		return time.Time{}
	case own < p.newest && p.provenAt.Before(proven):
		return p.provenAt
	}
	return proven
}
