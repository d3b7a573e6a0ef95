package bysoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
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
	none := [4]Share{}
	tests := []struct {
		name    string
		records []record
		runs    map[string]int
		want    string
		shares  [4]Share // taken up, begun, served where cut off, served elsewhere
	}{
		{"take-ups are refused", nil, nil, "take-ups", [4]Share{{5, 12}, {100, 100}, {}, {}}},
		{"half of the take-ups go on", nil, nil, "", [4]Share{{6, 12}, {100, 100}, {}, {}}},
		{"few streams begin", nil, nil, "", [4]Share{{3, 12}, {50, 100}, {}, {}}},
		{"few take-ups", nil, nil, "", [4]Share{{0, 11}, {100, 100}, {}, {}}},
		{"nodes that are cut off serve too few", nil, nil, "cuts", [4]Share{{}, {}, {65, 100}, {100, 100}}},
		{"nodes that are cut off serve two thirds", nil, nil, "", [4]Share{{}, {}, {67, 100}, {100, 100}}},
		{"few tries fail at nodes that are cut off", nil, nil, "", [4]Share{{}, {}, {0, 14}, {200, 200}}},
		{"stream is taken up at its version", []record{part("a", "", 1, "v1", "v1"), part("b", "a", 3, "v1"), part("c", "a", 4, "v1", "v1", "v1")}, nil, "", none},
		{"stream begins anew at another version", []record{part("a", "", 1, "v1", "v1"), part("b", "", 1, "v2", "v2", "v2", "v2", "v2", "v2")}, nil, "", none},
		{"two versions within one response", []record{part("a", "", 1, "v1", "v1", "v1", "v2", "v2", "v2")}, nil, "versions", none},
		{"stream is taken up at another version", []record{part("a", "", 1, "v1", "v1"), part("b", "a", 3, "v2", "v2", "v2", "v2")}, nil, "versions", none},
		{"second take-up is at another version", []record{part("a", "", 1, "v1", "v1"), part("b", "a", 3, "v1"), part("c", "a", 4, "v2", "v2", "v2")}, nil, "versions", none},
		{"gap where a stream is taken up", []record{modified(part("b", "a", 4, "v1", "v1", "v1"), func(r *record) { r.lastEvent = 2 })}, nil, "streams", none},
		{"event comes twice where a stream is taken up", []record{modified(part("b", "a", 2, "v1", "v1", "v1", "v1", "v1"), func(r *record) { r.lastEvent = 2 })}, nil, "streams", none},
		{"gap in a stream that breaks off", []record{modified(part("a", "", 1, "v1", "v1"), func(r *record) { r.answer = strings.Replace(r.answer, "id: 2", "id: 3", 1) })}, nil, "streams", none},
		{"sound", []record{validRecord("a", kindUnsafe), validRecord("b", kindNonResumable), validRecord("c", kindResumable), validRecord("d", kindSafe)}, map[string]int{"a": 1, "b": 1, "c": 2, "d": 2}, "", none},
		{"unsafe request runs twice", []record{validRecord("a", kindUnsafe)}, map[string]int{"a": 2}, "at most once", none},
		{"stream that must not resume runs twice", []record{validRecord("a", kindNonResumable)}, map[string]int{"a": 2}, "at most once", none},
		{"refused request runs", []record{{id: "a", kind: kindUnsafe, status: 503}}, map[string]int{"a": 1}, "truth of a refusal", none},
		{"answer to another request", []record{modified(validRecord("a", kindSafe), func(r *record) { r.stamp = "stamp-i-1-b" })}, nil, "own answer", none},
		{"wrong body", []record{modified(validRecord("a", kindSafe), func(r *record) { r.answer = "y" })}, nil, "whole answer", none},
		{"stream lacks its last event", []record{modified(validRecord("a", kindNonResumable), func(r *record) { r.answer = r.answer[:len(r.answer)-25] })}, nil, "streams", none},
		{"stream with a wrong event id", []record{modified(validRecord("a", kindResumable), func(r *record) { r.answer = strings.Replace(r.answer, "id: 2", "id: 3", 1) })}, nil, "streams", none},
		{"route answers 404", []record{{id: "a", kind: kindSafe, status: 404}}, nil, "routes", none},
		{"return to an older configuration", []record{probe(5, 0, 10*time.Millisecond), probe(4, 300*time.Millisecond, 310*time.Millisecond)}, nil, "configuration", none},
		{"two versions during a change", []record{probe(5, 0, 10*time.Millisecond), probe(4, 5*time.Millisecond, 400*time.Millisecond)}, nil, "", none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &history{records: tt.records}
			runs := map[string][]bystub.Run{}
			for id, n := range tt.runs {
				runs[id] = make([]bystub.Run, n)
			}
			checkHistory(h, runs)
			checkShares(h, tt.shares[0], tt.shares[1])
			checkCutShares(h, "z1", tt.shares[2], tt.shares[3])
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

// TestNoDomainIsLeftToCut guards against the failure that a soak ends in a panic, and leaves its
// nodes behind, when all failure domains are cut off already.
func TestNoDomainIsLeftToCut(t *testing.T) {
	s := &soak{domains: []*domain{{name: "z1", cuts: []span{{from: time.Now()}}}, {name: "z2", cuts: []span{{from: time.Now()}}}}}
	var pending sync.WaitGroup
	for seed := range uint64(20) {
		s.cutDomains(t.Context(), &pending, rand.New(rand.NewPCG(seed, 6)))
	}
	pending.Wait()
	for _, d := range s.domains {
		if len(d.cuts) != 1 {
			t.Errorf("%s was cut off %d times, want once", d.name, len(d.cuts))
		}
	}
}
