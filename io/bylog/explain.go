package bylog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLine bounds one line of a log, in bytes. A longer one counts as bad.
const maxLine = 1 << 20

// BadLine is a line of a log that looks like one of a node's and can't be read,
// as one that a killed process has cut.
type BadLine struct {
	Log  int // from 0
	Line int // from 1
	Err  error
}

// Explanation is what logs say of one request.
type Explanation struct {
	Lines []string // in the order of time
	Cause string   // how it ended and why, empty if no line tells
	Bad   []BadLine
}

// Explain reads the logs of any number of nodes, in any order, and tells what they
// say of one request. Lines may carry a prefix before their JSON. The error is one
// of reading.
func Explain(request string, logs ...io.Reader) (Explanation, error) {
	var e Explanation
	var found []map[string]any
	for i, log := range logs {
		r := bufio.NewReaderSize(log, maxLine)
		for n := 1; ; n++ {
			text, err := readLine(r)
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errLongLine) {
				return e, fmt.Errorf("log %d, line %d: %w", i, n, err)
			}
			if fields, bad := parse(text); errors.Is(err, errLongLine) || bad != nil {
				e.Bad = append(e.Bad, BadLine{i, n, errors.Join(err, bad)})
			} else if fields["request"] == request {
				found = append(found, fields)
			}
			if errors.Is(err, io.EOF) {
				break
			}
		}
	}
	slices.SortStableFunc(found, func(a, b map[string]any) int { return strings.Compare(fmt.Sprint(a["time"]), fmt.Sprint(b["time"])) })
	for _, fields := range found {
		e.Lines = append(e.Lines, sentence(fields))
	}
	e.Cause = cause(found)
	return e, nil
}

var errLongLine = errors.New("line is too long")

// readLine returns the next line. Of one that is too long it returns the beginning.
func readLine(r *bufio.Reader) ([]byte, error) {
	text, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	begin := slices.Clone(text)
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = r.ReadSlice('\n')
	}
	if err != nil {
		return begin, err
	}
	return begin, errLongLine
}

// parse returns the fields of a line, none if it is not one of a node's.
func parse(text []byte) (map[string]any, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil, nil
	}
	var fields map[string]any
	err := json.Unmarshal(text[start:], &fields)
	return fields, err
}

// cause puts the last line of a request and the last trouble before it in one
// sentence.
func cause(found []map[string]any) string {
	if len(found) == 0 {
		return ""
	}
	end := found[len(found)-1]
	text := fmt.Sprint(end["message"])
	if !isEnd(text) {
		return fmt.Sprintf("no end is logged after %q at %v: %v was killed or lost then, or its log is cut", text, end["time"], end["node"])
	}
	if status, ok := end["status"]; ok {
		text += fmt.Sprintf(" with status %v", status)
	}
	if c, ok := end["cause"]; ok {
		text += ", " + fmt.Sprint(c)
	}
	if trouble := lastTrouble(found[:len(found)-1]); trouble != "" {
		text += "; after " + trouble
	} else if reason, ok := end["error"]; ok {
		text += fmt.Sprintf(": %v", reason)
	}
	if after, ok := end["after_ms"]; ok {
		text += fmt.Sprintf("; %v ms after it came, sent %v times", after, end["sends"])
	}
	return text
}

// The sentences that end a request, one of which is its last line.
const (
	EndAnswered = "answered"    // by an endpoint, also with a failure of its own
	EndRejected = "rejected"    // wrong in itself
	EndRefused  = "refused"     // not run
	EndFailed   = "failed"      // no answer, and it may have run
	EndCut      = "answer cut"  // in the middle
	EndLeft     = "caller left" // before the end
)

func isEnd(message string) bool {
	_, text, _ := strings.Cut(message, ": ")
	return slices.Contains([]string{EndAnswered, EndRejected, EndRefused, EndFailed, EndCut, EndLeft}, text)
}

// lastTrouble names the last line that tells of an error or a status.
func lastTrouble(found []map[string]any) string {
	for _, fields := range slices.Backward(found) {
		reason, ok := fields["error"]
		if !ok {
			reason, ok = fields["status"]
		}
		if !ok {
			continue
		}
		text := fmt.Sprintf("%v: %v", fields["message"], reason)
		if endpoint, ok := fields["endpoint"]; ok {
			text += fmt.Sprintf(", at %v", endpoint)
		}
		return text
	}
	return ""
}

// sentence renders one line: time, node, what happened, then the inputs by name.
func sentence(fields map[string]any) string {
	text := fmt.Sprintf("%v %v %v", fields["time"], fields["node"], fields["message"])
	var names []string
	for name := range fields {
		if !slices.Contains([]string{"time", "node", "incarnation", "message", "level", "request"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, fields[name])
	}
	return text
}
