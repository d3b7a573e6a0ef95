package bylog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Explain reads the logs of any number of nodes and writes what they say of one
// request, in the order of time. Lines may carry a prefix before their JSON. It
// returns how many lines are about the request and how many cannot be read.
func Explain(w io.Writer, request string, logs ...io.Reader) (found, bad int, err error) {
	type line struct {
		at   string
		text string
	}
	var lines []line
	for _, r := range logs {
		scan := bufio.NewScanner(r)
		scan.Buffer(nil, maxLine)
		for scan.Scan() {
			start := bytes.IndexByte(scan.Bytes(), '{')
			if start < 0 {
				continue
			}
			var fields map[string]any
			if err := json.Unmarshal(scan.Bytes()[start:], &fields); err != nil {
				bad++
				continue
			}
			if fields["request"] == request {
				lines = append(lines, line{fmt.Sprint(fields["time"]), sentence(fields)})
			}
		}
		if err := scan.Err(); err != nil {
			return len(lines), bad, err
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return strings.Compare(a.at, b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return len(lines), bad, err
		}
	}
	return len(lines), bad, nil
}

// sentence renders one line: time, node, what happened, then the inputs by name.
func sentence(fields map[string]any) string {
	text := fmt.Sprintf("%v %v %v", fields["time"], fields["node"], fields["message"])
	var names []string
	for name := range fields {
		if !slices.Contains([]string{"time", "node", "message", "level", "request"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, fields[name])
	}
	return text
}
