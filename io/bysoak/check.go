package bysoak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"burdockyard/platform/bystub"
)

// kind is the kind of a request. It determines which guarantees apply.
type kind int

const (
	safe      kind = iota // may be repeated
	unsafe                // must run at most once
	resumable             // stream that another runner may continue
	once                  // stream that no other runner may continue
	marker                // asks for the route of one configuration version
)

// record is a request and the response that its caller received.
type record struct {
	id, method, path, body string
	part, shared, own      int // id of the prompt's shared part, tokens in it and in the rest of the prompt
	kind                   kind
	version                int    // configuration version that a marker asks for
	node                   string // node that the request was sent to
	start                  int    // start count of that node's process
	sent, ended            time.Time
	status                 int    // HTTP status, 0 without a response
	answer                 string // response body
	whole                  bool   // whether the body was read without an error
	stamp                  string // signature in the response header
}

// history collects the callers' records and the broken guarantees. mu guards
// the fields below it.
type history struct {
	mu         sync.Mutex
	records    []record
	violations []string
}

func (h *history) add(r record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
}

func (h *history) violate(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// report checks the history and summarizes the run. healed is when the last
// fault ended. It must be called after all callers have returned.
func (s *soak) report(healed time.Time) Report {
	runs := map[string][]bystub.Run{}
	for _, r := range s.runners {
		for _, run := range r.stub.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	h := &s.history
	rep := Report{Plan: s.plan, Requests: len(h.records)}
	late, served := 0, 0
	for _, r := range h.records {
		if r.status == 200 && r.whole {
			rep.Answered++
		}
		if refusal(r.status) {
			rep.Refused++
		}
		if r.kind != marker && r.sent.After(healed.Add(recovery)) {
			late++
			if r.status == 200 && r.whole {
				served++
			}
		}
	}
	check(h, runs)
	if late > 0 {
		rep.Recovered = float64(served) / float64(late)
	}
	if rep.Recovered < recoveredShare {
		h.violate("recovery: %d of %d requests are served %v after the last fault", served, late, recovery)
	}
	rep.Violations = h.violations
	return rep
}

// recoveredShare is the minimum share of requests that must be served after the
// recovery time.
const recoveredShare = 0.9

// refusal reports whether a status means that the node refused the request.
func refusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// check compares the callers' records with the runs at the runners, by request
// id, and adds a violation to h for each broken guarantee.
func check(h *history, runs map[string][]bystub.Run) {
	seen := map[string][]record{} // answered markers by process
	for _, r := range h.records {
		n := len(runs[r.id])
		if (r.kind == unsafe || r.kind == once) && n > 1 {
			h.violate("at most once: %s %s ran %d times", r.id, r.path, n)
		}
		if refusal(r.status) && n > 0 && r.kind != safe && r.kind != marker && r.kind != resumable {
			h.violate("truth of a refusal: %s %s was answered %d and ran", r.id, r.path, r.status)
		}
		if r.status == 200 {
			checkAnswer(h, r)
		}
		if r.status == 404 && r.kind != marker {
			h.violate("routes: %s %s is on every configuration and was answered 404", r.id, r.path)
		}
		if r.kind == marker && r.status == 200 {
			process := fmt.Sprintf("%s/%d", r.node, r.start)
			seen[process] = append(seen[process], r)
		}
	}
	for process, markers := range seen {
		checkVersions(h, process, markers)
	}
}

// rollbackSlack is how long a process may still act on an older configuration
// after it first answered for a newer one.
const rollbackSlack = 250 * time.Millisecond

// checkVersions checks that a process does not return to an older configuration
// version.
func checkVersions(h *history, process string, markers []record) {
	for _, r := range markers {
		for _, newer := range markers {
			if newer.version > r.version && r.sent.After(newer.ended.Add(rollbackSlack)) {
				h.violate("configuration: %s acts on version %d in %s, after %d", process, r.version, r.id, newer.version)
				return
			}
		}
	}
}

// checkAnswer checks that a response belongs to the caller's request, and that a
// body that was read without an error is complete and correct.
func checkAnswer(h *history, r record) {
	if !strings.HasSuffix(r.stamp, "-"+r.id) {
		h.violate("own answer: %s %s bears the signature %q", r.id, r.path, r.stamp)
	}
	switch r.kind {
	case resumable, once:
		for i, event := range strings.Split(strings.TrimSuffix(r.answer, "\n\n"), "\n\n") {
			if event != "" && event != fmt.Sprintf("id: %d\ndata: piece %d of %s", i+1, i+1, r.id) && r.whole {
				h.violate("streams: event %d of %s is %q", i+1, r.id, event)
				return
			}
		}
		if r.whole && strings.Count(r.answer, "id: ") != soakEvents {
			h.violate("streams: %s looks whole with %d of %d events", r.id, strings.Count(r.answer, "id: "), soakEvents)
		}
	default:
		if want := fmt.Sprintf("%s %s %s %d", r.method, r.path, r.id, len(r.body)); r.whole && r.answer != want {
			h.violate("whole answer: %s got %q, not %q", r.id, r.answer, want)
		}
	}
}

// soakEvents is the number of events in each stream.
const soakEvents = 6
