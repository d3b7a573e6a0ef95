package bysoak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"burdockyard/platform/bystub"
)

// kind says what a request may do.
type kind int

const (
	safe kind = iota
	unsafe
	resumable // a stream that may go on at another runner
	once      // a stream that may not
	marker    // shows which configuration is in force
)

// record is one request and what its caller saw.
type record struct {
	id, method, path, body string
	part, shared, own      int // of the prompt: its shared part, tokens of it and of the rest
	kind                   kind
	version                int // of the configuration that a marker asks for
	node                   string
	start                  int // of the node's processes, the one it was sent to
	sent, ended            time.Time
	status                 int // 0: no answer
	answer                 string
	whole                  bool
	stamp                  string
}

// history is what callers saw. mu guards everything below it.
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

// recoveredShare is the share of requests that must be served after recovery.
const recoveredShare = 0.9

func refusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// check holds what callers saw against what ran.
func check(h *history, runs map[string][]bystub.Run) {
	seen := map[string][]record{} // per process, the markers of versions in force
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

// rollbackSlack is how soon after a version's effect an older one may still show.
const rollbackSlack = 250 * time.Millisecond

// checkVersions checks that a process acts on no older version than it has.
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

// checkAnswer checks that an answer is the caller's own, and whole if it looks so.
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

// soakEvents is the number of events of every stream.
const soakEvents = 6
