package byusage

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

const (
	// formatVersion begins each encoded state.
	formatVersion = 1
	// maxPieceBytes is the size of the pieces of an encoded state. The store limits rows to
	// 64 KB.
	maxPieceBytes = 60 << 10
	// maxEntries bounds each list of a decoded state.
	maxEntries = 1 << 20
)

// Pieces returns the state in pieces, each of which fits into one row.
func (s State) Pieces() [][]byte { return slices.Collect(slices.Chunk(s.data, maxPieceBytes)) }

// encode returns the state as unsigned varints. Workspaces are numbered in a list at the
// start, since each may occur once for each process.
func (l *Ledger) encode(era uint64) []byte {
	names := map[string]uint64{}
	var list []string
	number := func(counts map[string]int64) {
		for name := range counts {
			if _, ok := names[name]; !ok {
				names[name] = uint64(len(list))
				list = append(list, name)
			}
		}
	}
	for _, counts := range l.fixed {
		number(counts)
	}
	for _, shares := range l.open {
		for _, s := range shares {
			number(s.begun)
		}
	}
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, era)
	b = binary.AppendUvarint(b, uint64(l.next))
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, name := range list {
		b = binary.AppendUvarint(b, uint64(len(name)))
		b = append(b, name...)
	}
	appendCounts := func(counts map[string]int64) {
		b = binary.AppendUvarint(b, uint64(len(counts)))
		for name, n := range counts {
			b = binary.AppendUvarint(b, names[name])
			b = binary.AppendUvarint(b, uint64(n))
		}
	}
	b = binary.AppendUvarint(b, uint64(len(l.fixed)))
	for _, w := range slices.Sorted(maps.Keys(l.fixed)) {
		b = binary.AppendUvarint(b, uint64(w))
		appendCounts(l.fixed[w])
	}
	b = binary.AppendUvarint(b, uint64(len(l.open)))
	for _, w := range slices.Sorted(maps.Keys(l.open)) {
		b = binary.AppendUvarint(b, uint64(w))
		shares := maps.Clone(l.open[w])
		maps.DeleteFunc(shares, func(_ uint64, s *share) bool { return len(s.begun) == 0 })
		b = binary.AppendUvarint(b, uint64(len(shares)))
		for process, s := range shares {
			b = binary.LittleEndian.AppendUint64(b, process)
			appendCounts(s.begun)
		}
	}
	return b
}

// Decode returns the Ledger whose state is given, in one slice, and the era in which it was
// written. Other writers have access to the rows.
func Decode(data []byte) (l *Ledger, era uint64, err error) {
	d := decoder{rest: data}
	if d.byte() != formatVersion {
		return nil, 0, merry.Prepend(burdockyard.ErrMalformed, "state of usage: unknown format")
	}
	era = d.uint()
	l = NewLedger(d.int())
	var names []string
	for range d.length() {
		names = append(names, d.text())
	}
	for range d.length() {
		w := d.int()
		l.fixed[w] = d.counts(names)
	}
	for range d.length() {
		w := d.int()
		for range d.length() {
			l.share(d.uint64(), w).begun = d.counts(names)
		}
	}
	if d.err == nil && len(d.rest) > 0 {
		d.err = fmt.Errorf("%d bytes too many", len(d.rest))
	}
	if d.err != nil {
		return nil, 0, merry.Prepend(burdockyard.ErrMalformed, "state of usage: "+d.err.Error())
	}
	return l, era, nil
}

// decoder reads an encoded state. After an error it returns zeros.
type decoder struct {
	rest []byte
	err  error
}

var errTooShort = errors.New("the end is missing")

func (d *decoder) take(n int) []byte {
	if d.err != nil || n > len(d.rest) {
		d.err = cmp.Or(d.err, errTooShort)
		return make([]byte, min(n, 8))
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) byte() byte     { return d.take(1)[0] }
func (d *decoder) uint64() uint64 { return binary.LittleEndian.Uint64(d.take(8)) }

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.err != nil || n <= 0 {
		d.err = cmp.Or(d.err, errTooShort)
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) int() int64 {
	v := int64(d.uint())
	if v < 0 {
		d.err = cmp.Or(d.err, errors.New("a number is out of range"))
		return 0
	}
	return v
}

// length returns the length of a list, each of whose elements takes a byte at least.
func (d *decoder) length() int {
	n := d.uint()
	if n > min(maxEntries, uint64(len(d.rest))) {
		d.err = cmp.Or(d.err, errTooShort)
		return 0
	}
	return int(n)
}

func (d *decoder) text() string {
	n := d.length()
	return string(d.take(n))
}

func (d *decoder) counts(names []string) map[string]int64 {
	counts := map[string]int64{}
	for range d.length() {
		i, n := d.uint(), d.int()
		if i >= uint64(len(names)) {
			d.err = cmp.Or(d.err, fmt.Errorf("workspace %d of %d", i, len(names)))
			return counts
		}
		counts[names[i]] = n
	}
	return counts
}
