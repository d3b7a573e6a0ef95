package bylog_test

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"burdockyard/io/bylog"
)

// TestExplain checks that Explain sorts the lines of one request across nodes, skips
// other requests and text that is not JSON, and reports truncated and overlong lines.
// The second log is not sorted, and the first has a prefix before the JSON.
func TestExplain(t *testing.T) {
	firstLog := `  1.2 front-1 {"level":"info","node":"n1","request":"r1","endpoint":"i-1","error":"answer interrupted: connection reset","time":"2026-01-01T00:00:00.020Z","message":"calls: send failed"}
{"level":"info","node":"n1","request":"r2","time":"2026-01-01T00:00:00.021Z","message":"calls: answered"}
{"level":"info","node":"n1","request":"r1","ti
`
	longLine := `{"request":"r1","text":"` + strings.Repeat("x", 3<<20) + `"}` + "\n"
	secondLog := `{"level":"info","node":"n2","request":"r1","status":502,"cause":"no_answer","sends":1,"after_ms":20.5,"time":"2026-01-01T00:00:00.030Z","message":"calls: failed"}
not a line of a log
` + longLine + `{"level":"info","node":"n2","request":"r1","time":"2026-01-01T00:00:00.010Z","message":"calls: prompt read"}
{"level":"info","node":"n2","req`
	want := []string{
		"2026-01-01T00:00:00.010Z n2 calls: prompt read",
		"2026-01-01T00:00:00.020Z n1 calls: send failed endpoint=i-1 error=answer interrupted: connection reset",
		"2026-01-01T00:00:00.030Z n2 calls: failed after_ms=20.5 cause=no_answer sends=1 status=502",
	}
	e, err := bylog.Explain("r1", strings.NewReader(firstLog), strings.NewReader(secondLog))
	if err != nil || !slices.Equal(e.Lines, want) {
		t.Errorf("got error %v and lines\n%s\nwant the three lines of r1 by time and no error", err, strings.Join(e.Lines, "\n"))
	}
	if want := "calls: failed with status 502, no_answer; after calls: send failed: answer interrupted: connection reset, at i-1; 20.5 ms after it came, sent 1 times"; e.Cause != want {
		t.Errorf("cause is %q, want %q", e.Cause, want)
	}
	var bad []string
	for _, l := range e.BadLines {
		bad = append(bad, fmt.Sprint(l.LogIndex, ":", l.LineNumber))
	}
	if want := []string{"0:3", "1:3", "1:5"}; !slices.Equal(bad, want) {
		t.Errorf("bad lines are %v, want %v", bad, want)
	}
}

// TestExplainRefusalOfKey checks the causes for requests that were refused because of their
// key.
func TestExplainRefusalOfKey(t *testing.T) {
	for _, tt := range []struct{ fields, want string }{
		{`"status":401,"cause":"the API key is unknown","key_hash":"00ff","config":7,"message":"calls: rejected"`,
			"calls: rejected with status 401, the API key is unknown (hash 00ff): no workspace, or more than one, held it in configuration 7"},
		{`"cause":"stale_configuration","proven_ms":4600.5,"message":"calls: refused"`,
			"calls: refused, stale_configuration: what the node knew of the keys might have been 4600.5 ms old, and no peer could decide"},
	} {
		e, err := bylog.Explain("r1", strings.NewReader(`{"node":"n1","request":"r1","time":"2026-01-01T00:00:00.010Z",`+tt.fields+"}"))
		if err != nil || e.Cause != tt.want {
			t.Errorf("cause is %q and error %v, want %q and no error", e.Cause, err, tt.want)
		}
	}
}

// TestExplainWithoutOutcomeLine checks the cause for a request without an outcome,
// since a killed node logs none for its requests in progress. The cause must say so
// and name the node and the last line.
func TestExplainWithoutOutcomeLine(t *testing.T) {
	e, err := bylog.Explain("r1", strings.NewReader(`{"node":"n2","request":"r1","time":"2026-01-01T00:00:00.010Z","message":"calls: first event"}`))
	want := `no end is logged after "calls: first event" at 2026-01-01T00:00:00.010Z: n2 was killed or lost then, or its log is cut`
	if err != nil || e.Cause != want {
		t.Errorf("cause is %q and error %v, want %q and no error", e.Cause, err, want)
	}
}

// TestExplainWithoutMatchAndReadError checks that a log without a matching line gives
// an empty explanation, and that an error of the reader is returned.
func TestExplainWithoutMatchAndReadError(t *testing.T) {
	e, err := bylog.Explain("r1", strings.NewReader("\n\nhello\n"))
	if err != nil || len(e.Lines) > 0 || len(e.BadLines) > 0 || e.Cause != "" {
		t.Errorf("got %+v and error %v, want an empty explanation and no error", e, err)
	}
	readErr := errors.New("disk failed")
	if _, err := bylog.Explain("r1", io.MultiReader(strings.NewReader("a\n"), iotest.ErrReader(readErr))); !errors.Is(err, readErr) {
		t.Errorf("error is %v, want one that wraps the reader's error", err)
	}
}
