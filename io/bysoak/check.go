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
	kindSafe         kind = iota // may be repeated
	kindUnsafe                   // must run at most once
	kindResumable                // stream that another runner may continue
	kindNonResumable             // stream that no other runner may continue
	kindVersionProbe             // asks for the route of one configuration version
)

// record is a request and the response that its caller received.
type record struct {
	id, method, path, body string
	// The id of the prompt's shared part, and the tokens in it and in the rest of the
	// prompt.
	sharedPart, sharedTokens, ownTokens int
	poisonedPart                        string // hash of a further part on which runners crash; empty if there is none
	kind                                kind
	version                             int    // configuration version that a version probe asks for
	node                                string // node that the request was sent to
	nodeStart                           int    // start count of that node's process
	sent, finished                      time.Time
	status                              int    // HTTP status, 0 without a response
	answer                              string // response body
	complete                            bool   // whether the body was read without an error
	stamp                               string // stamp that the answering runner set on the response
	retryAfter                          string // Retry-After of the response

	// Of a request that takes a stream up: the request that brought its first event, and
	// the last event that the caller has. resumes is empty for other requests.
	resumes   string
	lastEvent int
	// Of a stream: the number of events after which the caller breaks the connection, 0
	// for never; and when the caller gives up, zero for callerDeadline after it was sent.
	breakOffAfter int
	deadline      time.Time
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

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// buildReport checks the history and summarizes the run. faultsEndedAt is when the last
// fault ended. It must be called after all callers have returned.
func (s *soak) buildReport(faultsEndedAt time.Time) Report {
	runs := map[string][]bystub.Run{}
	for _, r := range s.runners {
		for _, run := range r.stub.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	h := &s.history
	rep := Report{Plan: s.plan, Requests: len(h.records)}
	sentAfterRecovery, answeredAfterRecovery := 0, 0
	for _, r := range h.records {
		if r.status == 200 && r.complete {
			rep.Answered++
		}
		if isRefusal(r.status) {
			rep.Refused++
		}
		if r.kind != kindVersionProbe && r.sent.After(faultsEndedAt.Add(recoveryTime)) {
			sentAfterRecovery++
			if r.isServed() {
				answeredAfterRecovery++
			}
		}
	}
	checkHistory(h, runs)
	rep.TakenUp, rep.Begun = s.checkTakeUps()
	s.checkPoison()
	s.checkRepeats()
	s.checkLimits()
	rep.CutOff, rep.Others = s.checkCuts()
	rep.Silenced = s.checkSilences()
	rep.PeakMemoryKB, rep.Endless = s.peakMemoryKB, s.endless
	if sentAfterRecovery > 0 {
		rep.RecoveredShare = float64(answeredAfterRecovery) / float64(sentAfterRecovery)
	}
	if rep.RecoveredShare < minRecoveredShare {
		h.addViolation("recovery: %d of %d requests are served %v after the last fault", answeredAfterRecovery, sentAfterRecovery, recoveryTime)
	}
	rep.Violations = h.violations
	return rep
}

// minRecoveredShare is the minimum share of requests that must be served after
// the recovery time.
const minRecoveredShare = 0.9

// isRefusal reports whether a status means that the node refused the request.
func isRefusal(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// checkHistory compares the callers' records with the runs at the runners, by
// request id, and adds a violation to h for each broken guarantee.
func checkHistory(h *history, runs map[string][]bystub.Run) {
	probes := map[string][]record{} // answered version probes by process
	for _, r := range h.records {
		n := len(runs[r.id])
		if (r.kind == kindUnsafe || r.kind == kindNonResumable) && n > 1 {
			h.addViolation("at most once: %s %s ran %d times", r.id, r.path, n)
		}
		if isRefusal(r.status) && n > 0 && r.kind != kindSafe && r.kind != kindVersionProbe && r.kind != kindResumable {
			h.addViolation("truth of a refusal: %s %s was answered %d and ran", r.id, r.path, r.status)
		}
		if r.status == 200 {
			checkAnswer(h, r)
		}
		if r.status == 404 && r.kind != kindVersionProbe {
			h.addViolation("routes: %s %s is on every configuration and was answered 404", r.id, r.path)
		}
		if r.kind == kindVersionProbe && r.status == 200 {
			process := fmt.Sprintf("%s/%d", r.node, r.nodeStart)
			probes[process] = append(probes[process], r)
		}
	}
	checkVersions(h, runs)
	for process, processProbes := range probes {
		checkConfigVersions(h, process, processProbes)
	}
}

// configRollbackTolerance is how long a process may still act on an older
// configuration after it first answered for a newer one.
const configRollbackTolerance = 250 * time.Millisecond

// checkConfigVersions checks that a process does not return to an older
// configuration version.
func checkConfigVersions(h *history, process string, probes []record) {
	for _, r := range probes {
		for _, newer := range probes {
			if newer.version > r.version && r.sent.After(newer.finished.Add(configRollbackTolerance)) {
				h.addViolation("configuration: %s acts on version %d in %s, after %d", process, r.version, r.id, newer.version)
				return
			}
		}
	}
}

// checkAnswer checks that a response belongs to the caller's request, and that a
// body that was read without an error is complete and correct.
func checkAnswer(h *history, r record) {
	if !strings.HasSuffix(r.stamp, "-"+r.id) {
		h.addViolation("own answer: %s %s bears the signature %q", r.id, r.path, r.stamp)
	}
	switch r.kind {
	case kindResumable, kindNonResumable:
		events, rest := r.events()
		for i, event := range events {
			number := r.lastEvent + i + 1
			if text, _, _ := strings.Cut(event, versionMark); text != fmt.Sprintf("id: %d\ndata: piece %d of %s", number, number, r.id) {
				h.addViolation("streams: event %d of %s is %q", number, r.id, event)
				return
			}
		}
		if r.complete && (rest != "" || r.lastEvent+len(events) != eventsPerStream) {
			h.addViolation("streams: %s looks whole with %d of %d events and %q", r.id, r.lastEvent+len(events), eventsPerStream, rest)
		}
	default:
		if want := fmt.Sprintf("%s %s %s %d", r.method, r.path, r.id, len(r.body)); r.complete && r.answer != want {
			h.addViolation("whole answer: %s got %q, not %q", r.id, r.answer, want)
		}
	}
}

// isServed reports whether the caller got the whole response, or as much of a stream as it
// has read.
func (r record) isServed() bool {
	events, _ := r.events()
	return r.status == 200 && (r.complete || r.breakOffAfter > 0 && len(events) >= r.breakOffAfter)
}

// events returns the whole events of a stream, and what follows the last one.
func (r record) events() (events []string, rest string) {
	parts := strings.Split(r.answer, "\n\n")
	return parts[:len(parts)-1], parts[len(parts)-1]
}

// eventsPerStream is the number of events in each stream.
const eventsPerStream = 6
