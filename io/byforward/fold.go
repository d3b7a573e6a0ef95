package byforward

import "bytes"

// foldScanner looks for a line of a header that begins with a blank but reads like a field. By its
// blank it is folded: it continues the value of the field before it, and frames nothing even if
// its name is Content-Length. RFC 9112, section 5.2, lets a proxy reject all folded lines; others
// are accepted here, as net/http does.
//
// It scans all bytes that are read together with the header, so that found may lie beyond it.
type foldScanner struct {
	active  bool
	state   lineState
	scanned int64 // number of bytes
	found   int64 // value of scanned after the first such name; 0 if there is none
}

// lineState is where in a line a foldScanner is.
type lineState int

const (
	lineStart     lineState = iota
	lineFold                // after the blanks at the start
	lineName                // in a name after them
	lineAfterName           // after the blanks behind the name
	lineField               // after the colon behind them
	lineRest                // in a part that does not matter
)

func (s *foldScanner) scan(data []byte) {
	for i := 0; i < len(data); i++ {
		if s.state == lineRest {
			end := bytes.IndexByte(data[i:], '\n')
			if end < 0 {
				break
			}
			i += end
		}
		s.state = s.state.next(data[i])
		if s.state == lineField {
			if s.found == 0 {
				s.found = s.scanned + int64(i) + 1
			}
			s.state = lineRest
		}
	}
	s.scanned += int64(len(data))
}

// next returns the state after byte b.
func (s lineState) next(b byte) lineState {
	isLetter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
	switch {
	case b == '\n':
		return lineStart
	case b == ' ' || b == '\t':
		switch s {
		case lineStart, lineFold:
			return lineFold
		case lineName, lineAfterName:
			return lineAfterName
		}
	case b == ':' && (s == lineName || s == lineAfterName):
		return lineField
	case isLetter && (s == lineFold || s == lineName), s == lineName && (b == '-' || b == '_' || '0' <= b && b <= '9'):
		return lineName
	}
	return lineRest
}
