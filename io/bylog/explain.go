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

// maxLineBytes is the longest log line that Explain reads. Longer lines are
// reported as unreadable.
const maxLineBytes = 1 << 20

// BadLine locates a log line that contains a "{" but cannot be read, such as one that
// is truncated because its process was killed.
type BadLine struct {
	LogIndex   int // index of the log among the arguments of Explain, from 0
	LineNumber int // line number in that log, from 1
	Err        error
}

// Explanation is what the logs of a deployment contain about one request.
type Explanation struct {
	Lines    []string // the request's log lines, formatted and sorted by time
	Cause    string   // how the request ended and why; empty if no line is about the request
	BadLines []BadLine
}

// Explain reads the logs of any number of nodes, in any order, and returns what
// they contain about one request. Lines may have a prefix before the JSON object.
// The error is non-nil only if a log cannot be read to its end.
func Explain(request string, logs ...io.Reader) (Explanation, error) {
	var e Explanation
	var entries []map[string]any
	for i, log := range logs {
		r := bufio.NewReaderSize(log, maxLineBytes)
		for n := 1; ; n++ {
			line, err := readLine(r)
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errLineTooLong) {
				return e, fmt.Errorf("can't read log %d at line %d: %w", i, n, err)
			}
			if fields, bad := parseLine(line); errors.Is(err, errLineTooLong) || bad != nil {
				e.BadLines = append(e.BadLines, BadLine{i, n, errors.Join(err, bad)})
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

// readLine returns the next line, which is valid until the next call. If the line
// does not fit into the buffer, it returns the start and errLineTooLong, or the error
// that ended the line.
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

// parseLine returns the fields of a line, or nil if the line has no "{".
func parseLine(line []byte) (map[string]any, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return nil, nil
	}
	var fields map[string]any
	err := json.Unmarshal(line[start:], &fields)
	return fields, err
}

// describeOutcome returns one sentence about the last entry of a request and the last
// failure before it. It returns "" if there are no entries.
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
	if hash, ok := last["key_hash"]; ok {
		text += fmt.Sprintf(" (hash %v): no workspace, or more than one, held it in configuration %v", hash, last["config"])
	}
	if age, ok := last["proven_ms"]; ok {
		text += fmt.Sprintf(": what the node knew of the keys might have been %v ms old, and no peer could decide", age)
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

// The messages that end a request. The last line of a finished request has one of
// them.
const (
	OutcomeAnswered           = "answered"    // an endpoint responded, possibly with an error status
	OutcomeRejected           = "rejected"    // the request itself is invalid
	OutcomeRefused            = "refused"     // the request was not executed
	OutcomeFailed             = "failed"      // no complete response arrived; the request may have been executed
	OutcomeInterrupted        = "answer cut"  // the response was interrupted before its end
	OutcomeCallerDisconnected = "caller left" // the caller disconnected before the end of the response
)

// isOutcome reports whether a message with its prefix is one that ends a request.
func isOutcome(message string) bool {
	_, text, _ := strings.Cut(message, ": ")
	return slices.Contains([]string{OutcomeAnswered, OutcomeRejected, OutcomeRefused, OutcomeFailed, OutcomeInterrupted, OutcomeCallerDisconnected}, text)
}

// lastFailure describes the last entry that has an error or a status, or returns
// "" if none has.
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

// formatEntry returns the time, node and message of an entry, then its other fields
// sorted by name.
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
