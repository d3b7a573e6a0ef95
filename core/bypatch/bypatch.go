// Package bypatch encodes a value by what distinguishes it from another one, its base, that the
// receiver has. Without a base, the value is compressed.
//
// # Usage
//
//	patch, err := bypatch.Encode(value, base)         // base may be nil
//	value, err := bypatch.Decode(patch, limit, bases) // errors.Is(err, bypatch.ErrBaseUnknown): ask for one without a base
//
// A patch is a Zstandard frame whose dictionary is the base. It names its base by a hash, and ends
// with a checksum of the value, so that a value is either decoded exactly or not at all.
package bypatch

import (
	"math/bits"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"burdockyard"
)

// ErrBaseUnknown means that a patch was made for a base that the receiver does not have.
var ErrBaseUnknown = merry.Sentinel("the base of the patch is unknown")

const (
	// maxWindow limits how far apart in a base and a value the same bytes are found.
	maxWindow = 32 << 20
	// minBaseBytes is the size of a base that is worth its encoder, which needs 9 MB. What builds on
	// a smaller one is compressed without it.
	minBaseBytes = 256 << 10
	// maxFrameMemory is what a decoder needs beyond the size of the value, in bytes.
	maxFrameMemory = 1 << 20
)

// baseID returns the number by which patches name a base. Zero stands for none.
func baseID(base []byte) uint32 {
	if len(base) == 0 {
		return 0
	}
	return uint32(xxhash.Sum64(base)) | 1
}

// Encode returns the patch that leads from base to value, which must not be empty. It leaves a
// small base out.
func Encode(value, base []byte) ([]byte, error) {
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowFor(len(value)))}
	if len(base) >= minBaseBytes {
		// Faster levels do not find what is far back in a base.
		opts = append(opts, zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderDictRaw(baseID(base), base), zstd.WithWindowSize(windowFor(len(base)+len(value))))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, merry.Prepend(err, "patch")
	}
	patch := enc.EncodeAll(value, nil)
	return patch, merry.Prepend(enc.Close(), "patch")
}

// windowFor returns the smallest window, a power of two, that spans n bytes.
func windowFor(n int) int {
	return min(max(1<<bits.Len(uint(n)), zstd.MinWindowSize), maxWindow)
}

// Decode returns the value that a patch leads to. bases are the values that it may have been made
// for. A patch for none of them returns ErrBaseUnknown, one that is damaged or leads to a value
// of more than limit bytes ErrMalformed.
func Decode(patch []byte, limit int, bases ...[]byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit + maxFrameMemory)), zstd.WithDecoderMaxWindow(2 * maxWindow)}
	id, err := dictionaryOf(patch)
	if err != nil {
		return nil, err
	}
	if id != 0 {
		base, ok := find(bases, id)
		if !ok {
			return nil, merry.Wrap(ErrBaseUnknown)
		}
		opts = append(opts, zstd.WithDecoderDictRaw(id, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, merry.Prepend(err, "patch")
	}
	defer dec.Close()
	value, err := dec.DecodeAll(patch, nil)
	switch {
	case err != nil:
		return nil, merry.Prepend(burdockyard.ErrMalformed, "patch", merry.WithCause(err))
	case len(value) > limit:
		return nil, merry.Prependf(burdockyard.ErrMalformed, "patch to a value of %d bytes, expected at most %d", len(value), limit)
	}
	return value, nil
}

// dictionaryOf returns the number of the base of a patch.
func dictionaryOf(patch []byte) (uint32, error) {
	var h zstd.Header
	if err := h.Decode(patch); err != nil || h.Skippable || !h.HasCheckSum {
		return 0, merry.Prepend(burdockyard.ErrMalformed, "patch without a checksum", merry.WithCause(err))
	}
	return h.DictionaryID, nil
}

// find returns the base with a number.
func find(bases [][]byte, id uint32) ([]byte, bool) {
	for _, b := range bases {
		if baseID(b) == id {
			return b, true
		}
	}
	return nil, false
}
