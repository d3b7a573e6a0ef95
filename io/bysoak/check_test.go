package bysoak

import (
	"fmt"
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
	// part returns a response with the events of a stream from one to another, made by
	// runners of the given versions.
	part := func(id, resumes string, from int, versions ...string) record {
		r := validRecord(id, kindResumable)
		r.resumes, r.lastEvent, r.answer = resumes, from-1, ""
		for i, v := range versions {
			r.answer += fmt.Sprintf("id: %d\ndata: piece %d of %s at %s\n\n", from+i, from+i, id, v)
		}
		r.complete = r.lastEvent+len(versions) == eventsPerStream
		return r
	}
	tests := []struct {
		name    string
		records []record
		runs    map[string]int
		want    string
	}{
		{"stream is taken up at its version", []record{part("a", "", 1, "v1", "v1"), part("b", "a", 3, "v1"), part("c", "a", 4, "v1", "v1", "v1")}, nil, ""},
		{"stream begins anew at another version", []record{part("a", "", 1, "v1", "v1"), part("b", "", 1, "v2", "v2", "v2", "v2", "v2", "v2")}, nil, ""},
		{"two versions within one response", []record{part("a", "", 1, "v1", "v1", "v1", "v2", "v2", "v2")}, nil, "versions"},
		{"stream is taken up at another version", []record{part("a", "", 1, "v1", "v1"), part("b", "a", 3, "v2", "v2", "v2", "v2")}, nil, "versions"},
		{"second take-up is at another version", []record{part("a", "", 1, "v1", "v1"), part("b", "a", 3, "v1"), part("c", "a", 4, "v2", "v2", "v2")}, nil, "versions"},
		{"gap where a stream is taken up", []record{modified(part("b", "a", 4, "v1", "v1", "v1"), func(r *record) { r.lastEvent = 2 })}, nil, "streams"},
		{"event comes twice where a stream is taken up", []record{modified(part("b", "a", 2, "v1", "v1", "v1", "v1", "v1"), func(r *record) { r.lastEvent = 2 })}, nil, "streams"},
		{"gap in a stream that breaks off", []record{modified(part("a", "", 1, "v1", "v1"), func(r *record) { r.answer = strings.Replace(r.answer, "id: 2", "id: 3", 1) })}, nil, "streams"},
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

// TestRunAtAnotherVersionIsFound guards against the failure that a stream goes on at another
// version unnoticed because its caller did not receive what that run made.
func TestRunAtAnotherVersionIsFound(t *testing.T) {
	for _, tt := range []struct {
		lastEventID string
		want        int
	}{{"", 0}, {"0", 0}, {"2", 1}} {
		first := validRecord("a", kindResumable)
		first.answer, first.complete = "id: 1\ndata: piece 1 of a at v1\n\nid: 2\ndata: piece 2 of a at v1\n\n", false
		h := &history{records: []record{first, {id: "b", kind: kindResumable, resumes: "a", lastEvent: 2}}}
		checkVersions(h, map[string][]bystub.Run{"a": {{ID: "a", Version: "v1"}}, "b": {{ID: "b", Version: "v2", LastEventID: tt.lastEventID}}})
		if len(h.violations) != tt.want {
			t.Errorf("run at v2 from event %q: violations = %q, want %d", tt.lastEventID, h.violations, tt.want)
		}
	}
}

// TestTakeUpsGoOnAsOftenAsStreamsBegin guards against the failure that nodes keep streams
// from being joined by refusing to take them up.
func TestTakeUpsGoOnAsOftenAsStreamsBegin(t *testing.T) {
	for _, tt := range []struct {
		takenUp, begun Share
		want           int
	}{
		{Share{0, 11}, Share{100, 100}, 0},
		{Share{5, 12}, Share{100, 100}, 1},
		{Share{6, 12}, Share{100, 100}, 0},
		{Share{3, 12}, Share{50, 100}, 0},
	} {
		h := &history{}
		checkShares(h, tt.takenUp, tt.begun)
		if len(h.violations) != tt.want {
			t.Errorf("%v taken up, %v begun: violations = %q, want %d", tt.takenUp, tt.begun, h.violations, tt.want)
		}
	}
}
