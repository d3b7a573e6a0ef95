package bypeer

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"burdockyard"
	"burdockyard/core/bypatch"
	"burdockyard/io/bypeer/bypeerpb"
)

// minPackedBytes is the size of a reading that is sent as a patch. Smaller ones fit into a few
// packets as they are.
const minPackedBytes = 4 << 10

// Parcel is a reading that is sent to several nodes. The patches that they need are made once,
// when the first one needs them. It is safe for concurrent use.
type Parcel struct {
	reading  TableReading
	baseKey  string            // of the row whose values are the bases of the patches
	bases    []burdockyard.Row // values of that row
	expected uint64            // version of the base that the receivers are expected to have; 0 if none

	mu      sync.Mutex
	encoded []byte            // the reading without a patch
	patches map[uint64][]byte // by version of the base, 0 without one
}

// NewParcel returns a Parcel of a reading. bases are the values of the row baseKey that the receivers
// may have, and expected is the version of the one that most of them have, or zero.
func NewParcel(r TableReading, baseKey string, bases []burdockyard.Row, expected uint64) *Parcel {
	return &Parcel{reading: r, baseKey: baseKey, bases: bases, expected: expected, patches: map[uint64][]byte{}}
}

// Size returns about how many bytes most receivers are sent.
func (p *Parcel) Size() int {
	if !p.isSmall() {
		if patch, err := p.patch(p.expected); err == nil {
			return len(patch)
		}
	}
	return p.rawSize()
}

// rawSize returns the size of the reading without a patch.
func (p *Parcel) rawSize() int {
	size := 0
	for _, ch := range p.reading.Changes {
		size += len(ch.Row.Key) + len(ch.Row.Value)
	}
	return size
}

// isSmall reports whether the reading is sent as it is.
func (p *Parcel) isSmall() bool { return p.rawSize() < minPackedBytes }

// message returns the reading as it is sent without a patch.
func (p *Parcel) message(age time.Duration) *bypeerpb.Reading {
	r := p.reading
	r.Age = age
	return readingToProto(r)
}

// patch returns the patch from a version of the base, or one without a base if that version is not
// known.
func (p *Parcel) patch(version uint64) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var base []byte
	for _, r := range p.bases {
		if version != 0 && r.Version == version {
			base = r.Value
		}
	}
	if base == nil {
		version = 0
	}
	if patch, ok := p.patches[version]; ok {
		return patch, nil
	}
	if p.encoded == nil {
		encoded, err := proto.Marshal(p.message(0))
		if err != nil {
			return nil, merry.Wrap(err)
		}
		p.encoded = encoded
	}
	patch, err := bypatch.Encode(p.encoded, base)
	if err == nil {
		p.patches[version] = patch
	}
	return patch, err
}

// unpack returns the reading in a message, whose patch was made for one of the bases or for none.
// A message without either holds an empty reading.
func unpack(msg *bypeerpb.PackedReading, bases [][]byte) (*bypeerpb.Reading, error) {
	reading := &bypeerpb.Reading{}
	if len(msg.GetPatch()) == 0 {
		if msg.GetReading() != nil {
			reading = msg.GetReading()
		}
		reading.AgeUs = msg.GetAgeUs()
		return reading, nil
	}
	data, err := bypatch.Decode(msg.GetPatch(), maxReadingBytes, bases...)
	if err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(data, reading); err != nil {
		return nil, merry.Prepend(burdockyard.ErrMalformed, "reading in a patch", merry.WithCause(err))
	}
	reading.AgeUs = msg.GetAgeUs()
	return reading, nil
}
