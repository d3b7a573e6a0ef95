package bylog_test

import (
	"bytes"
	"strings"
	"testing"

	"burdockyard/io/bylog"
)

func TestExplain(t *testing.T) {
	a := `  1.2 front-1 {"level":"info","node":"n1","request":"r1","endpoint":"i-1","time":"2026-01-01T00:00:00.020Z","message":"calls: send failed"}
{"level":"info","node":"n1","request":"r2","time":"2026-01-01T00:00:00.021Z","message":"calls: answered"}
{"level":"info","node":"n1","request":"r1","ti
`
	b := `{"level":"info","node":"n2","request":"r1","status":502,"cause":"no_answer","time":"2026-01-01T00:00:00.030Z","message":"calls: failed"}
not a line of a log
{"level":"info","node":"n2","request":"r1","time":"2026-01-01T00:00:00.010Z","message":"calls: prompt read"}
`
	want := `2026-01-01T00:00:00.010Z n2 calls: prompt read
2026-01-01T00:00:00.020Z n1 calls: send failed endpoint=i-1
2026-01-01T00:00:00.030Z n2 calls: failed cause=no_answer status=502
`
	var out bytes.Buffer
	found, bad, err := bylog.Explain(&out, "r1", strings.NewReader(a), strings.NewReader(b))
	if err != nil || found != 3 || bad != 1 || out.String() != want {
		t.Errorf("found %d, bad %d, %v:\n%s", found, bad, err, out.String())
	}
}
