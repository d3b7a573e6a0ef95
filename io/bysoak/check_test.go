package bysoak

import (
	"strings"
	"testing"
	"time"

	"burdockyard/platform/bystub"
)

// validRecord returns a record that breaks no guarantee.
func validRecord(id string, k kind) record {
	r := record{id: id, kind: k, method: "POST", path: "/p/" + id, body: "x", status: 200, complete: true, stamp: "stamp-i-1-" + id,
		answer: "POST /p/" + id + " " + id + " 1"}
	if k == kindNonResumable || k == kindResumable {
		r.answer = ""
		for _, i := range []string{"1", "2", "3", "4", "5", "6"} {
			r.answer += "id: " + i + "\ndata: piece " + i + " of " + id + "\n\n"
		}
	}
	return r
}

// TestCheckHistoryFindsEachViolation breaks each guarantee once and expects a
// violation that names it. A correct history must give no violation.
func TestCheckHistoryFindsEachViolation(t *testing.T) {
	now := time.Now()
	probe := func(version int, sent, finished time.Duration) record {
		r := validRecord("m", kindVersionProbe)
		r.version, r.sent, r.finished = version, now.Add(sent), now.Add(finished)
		return r
	}
	modified := func(r record, f func(*record)) record { f(&r); return r }
	tests := []struct {
		name    string
		records []record
		runs    map[string]int
		want    string
	}{
		{"sound", []record{validRecord("a", kindUnsafe), validRecord("b", kindNonResumable), validRecord("c", kindResumable), validRecord("d", kindSafe)}, map[string]int{"a": 1, "b": 1, "c": 2, "d": 2}, ""},
		{"unsafe request runs twice", []record{validRecord("a", kindUnsafe)}, map[string]int{"a": 2}, "at most once"},
		{"stream that must not resume runs twice", []record{validRecord("a", kindNonResumable)}, map[string]int{"a": 2}, "at most once"},
		{"refused request runs", []record{{id: "a", kind: kindUnsafe, status: 503}}, map[string]int{"a": 1}, "truth of a refusal"},
		{"answer to another request", []record{modified(validRecord("a", kindSafe), func(r *record) { r.stamp = "stamp-i-1-b" })}, nil, "own answer"},
		{"wrong body", []record{modified(validRecord("a", kindSafe), func(r *record) { r.answer = "y" })}, nil, "whole answer"},
		{"stream lacks its last event", []record{modified(validRecord("a", kindNonResumable), func(r *record) { r.answer = r.answer[:len(r.answer)-25] })}, nil, "streams"},
		{"stream with a wrong event id", []record{modified(validRecord("a", kindResumable), func(r *record) { r.answer = strings.Replace(r.answer, "id: 2", "id: 3", 1) })}, nil, "streams"},
		{"route answers 404", []record{{id: "a", kind: kindSafe, status: 404}}, nil, "routes"},
		{"return to an older configuration", []record{probe(5, 0, 10*time.Millisecond), probe(4, 300*time.Millisecond, 310*time.Millisecond)}, nil, "configuration"},
		{"two versions during a change", []record{probe(5, 0, 10*time.Millisecond), probe(4, 5*time.Millisecond, 400*time.Millisecond)}, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &history{records: tt.records}
			runs := map[string][]bystub.Run{}
			for id, n := range tt.runs {
				runs[id] = make([]bystub.Run, n)
			}
			checkHistory(h, runs)
			got := strings.Join(h.violations, "; ")
			if (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
				t.Errorf("violations = %q, want one that contains %q, or none if that is empty", got, tt.want)
			}
		})
	}
}
