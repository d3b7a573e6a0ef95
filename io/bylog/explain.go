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

// maxLineBytes bounds one line of a log, in bytes. A longer one counts as bad.
const maxLineBytes = 1 << 20

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
	var entries []map[string]any
	for i, log := range logs {
		r := bufio.NewReaderSize(log, maxLineBytes)
		for n := 1; ; n++ {
			line, err := readLine(r)
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errLineTooLong) {
				return e, fmt.Errorf("log %d, line %d: %w", i, n, err)
			}
			if fields, bad := parseLine(line); errors.Is(err, errLineTooLong) || bad != nil {
				e.Bad = append(e.Bad, BadLine{i, n, errors.Join(err, bad)})
			} else if fields["request"] == request {
				entries = append(entries, fields)
			}
			if errors.Is(err, io.EOF) {
				break
			}
		}
	}
	slices.SortStableFunc(entries, func(a, b map[string]any) int { return strings.Compare(fmt.Sprint(a["time"]), fmt.Sprint(b["time"])) })
	for _, fields := range entries {
		e.Lines = append(e.Lines, formatEntry(fields))
	}
	e.Cause = describeOutcome(entries)
	return e, nil
}

var errLineTooLong = errors.New("line is too long")

// readLine returns the next line. Of one that is too long it returns the beginning.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	start := slices.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = r.ReadSlice('\n')
	}
	if err != nil {
		return start, err
	}
	return start, errLineTooLong
}

// parseLine returns the fields of a line, none if it is not one of a node's.
func parseLine(line []byte) (map[string]any, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return nil, nil
	}
	var fields map[string]any
	err := json.Unmarshal(line[start:], &fields)
	return fields, err
}

// describeOutcome puts the last line of a request and the last trouble before it in one
// sentence.
func describeOutcome(entries []map[string]any) string {
	if len(entries) == 0 {
		return ""
	}
	last := entries[len(entries)-1]
	text := fmt.Sprint(last["message"])
	if !isOutcome(text) {
		return fmt.Sprintf("no end is logged after %q at %v: %v was killed or lost then, or its log is cut", text, last["time"], last["node"])
	}
	if status, ok := last["status"]; ok {
		text += fmt.Sprintf(" with status %v", status)
	}
	if c, ok := last["cause"]; ok {
		text += ", " + fmt.Sprint(c)
	}
	if failure := lastFailure(entries[:len(entries)-1]); failure != "" {
		text += "; after " + failure
	} else if reason, ok := last["error"]; ok {
		text += fmt.Sprintf(": %v", reason)
	}
	if afterMS, ok := last["after_ms"]; ok {
		text += fmt.Sprintf("; %v ms after it came, sent %v times", afterMS, last["sends"])
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

func isOutcome(message string) bool {
	_, text, _ := strings.Cut(message, ": ")
	return slices.Contains([]string{EndAnswered, EndRejected, EndRefused, EndFailed, EndCut, EndLeft}, text)
}

// lastFailure names the last line that tells of an error or a status.
func lastFailure(entries []map[string]any) string {
	for _, fields := range slices.Backward(entries) {
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

// formatEntry renders one line: time, node, what happened, then the inputs by name.
func formatEntry(fields map[string]any) string {
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
