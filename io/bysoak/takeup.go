package bysoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdockyard/platform/bystub"
)

const (
	// breakOffShare is the share of the resumable streams whose callers lose their
	// connection midway and take them up.
	breakOffShare = 0.15
	// arrivedTime is how long a caller whose connection breaks still reads what has arrived.
	// It is much shorter than the time between two events.
	arrivedTime = 5 * time.Millisecond
	// maxTakeUps is how often a caller tries to take up a stream.
	maxTakeUps = 4
	// takeUpPause is the longest time until a caller tries again, unless a node names one.
	takeUpPause = 60 * time.Millisecond
	// beginAnewShare is the share of the callers that begin a stream anew when taking it up
	// was refused.
	beginAnewShare = 0.3
	// minTakeUps is the number of take-ups from which the share that goes on is judged.
	minTakeUps = 12
	// maxListedStreams bounds the joined streams that are listed one by one.
	maxListedStreams = 8
	// versionMark precedes the version in an event.
	versionMark = " at "
)

// breakOffShare returns the share of the resumable streams that callers break off.
func (s *soak) breakOffShare() float64 {
	if s.cfg.Trouble == Wakes {
		return wakingBreakOffShare
	}
	return breakOffShare
}

// readUntilBreak reads n events of a stream and whatever has arrived with them, as a caller
// does whose connection breaks in that moment. It reports whether that was the whole
// response.
func readUntilBreak(conn net.Conn, body io.Reader, n int) (text string, complete bool) {
	var b strings.Builder
	br := bufio.NewReader(body)
	for strings.Count(b.String(), "\n\n") < n {
		line, err := br.ReadString('\n')
		b.WriteString(line)
		if err != nil {
			return b.String(), err == io.EOF
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(arrivedTime)); err != nil {
		return b.String(), false
	}
	rest, err := io.ReadAll(br)
	return b.String() + string(rest), err == nil
}

// takeUp does what the caller of a resumable stream does when the stream has broken off:
// it sends a new request for the rest, at any node, a few times within its deadline. A
// caller that is refused may also begin anew.
func (s *soak) takeUp(r record, rng *rand.Rand) {
	r.deadline = r.sent.Add(callerDeadline)
	first, stream := r.id, ""
	for try := 1; try <= maxTakeUps && r.isUnfinished(); try++ {
		if events, _ := r.events(); r.hasBegun() {
			if stream == "" {
				stream = r.id
			}
			r.lastEvent += len(events)
		} else if isRefusal(r.status) && rng.Float64() < beginAnewShare {
			stream, r.lastEvent = "", 0
		}
		time.Sleep(r.pause(rng))
		if time.Until(r.deadline) < takeUpPause {
			return
		}
		r = record{
			id: fmt.Sprintf("%s-%d", first, try), kind: r.kind, method: r.method, path: r.path, body: r.body,
			sharedPart: r.sharedPart, sharedTokens: r.sharedTokens, ownTokens: r.ownTokens, poisonedPart: r.poisonedPart,
			resumes: stream, lastEvent: r.lastEvent, deadline: r.deadline,
		}
		if !s.sendOnce(&r, rng) {
			return
		}
	}
}

// isUnfinished reports whether the caller of a stream may ask for more of it.
func (r record) isUnfinished() bool {
	events, _ := r.events()
	return r.status != http.StatusOK || !r.complete && r.lastEvent+len(events) < eventsPerStream
}

// pause returns how long a caller waits before it tries again: as long as the node asks
// for, up to a third of the time left.
func (r record) pause(rng *rand.Rand) time.Duration {
	if seconds, err := strconv.ParseFloat(r.retryAfter, 64); err == nil && isRefusal(r.status) {
		return max(0, min(time.Duration(seconds*float64(time.Second)), time.Until(r.deadline)/3))
	}
	return time.Duration(rng.Int64N(int64(takeUpPause)))
}

// sendOnce sends a request to a random node on a connection of its own, and records it. It
// reports false if no node accepted a connection.
func (s *soak) sendOnce(r *record, rng *rand.Rand) bool {
	for _, i := range rng.Perm(len(s.nodes)) {
		target := s.nodes[i]
		target.mu.Lock()
		r.nodeStart = target.starts
		target.mu.Unlock()
		conn, err := net.DialTimeout("tcp4", target.callerAddr, time.Second)
		if err != nil {
			continue
		}
		r.node, r.sent = target.name, time.Now()
		sendRequest(conn, bufio.NewReader(conn), r)
		r.finished = time.Now()
		conn.Close()
		s.history.add(*r)
		return true
	}
	return false
}

// streamID returns the id of the request that began the record's stream.
func (r record) streamID() string {
	if r.resumes != "" {
		return r.resumes
	}
	return r.id
}

// versionsByStream returns the versions of which each stream holds events, by the id of
// the request that began it, in the order in which they were recorded: those that the
// caller received, and those of runs that were to go on with a stream.
func versionsByStream(records []record, runs map[string][]bystub.Run) map[string][]string {
	versions := map[string][]string{}
	for _, r := range records {
		if r.kind != kindResumable && r.kind != kindNonResumable {
			continue
		}
		add := func(version string) {
			if version != "" && !slices.Contains(versions[r.streamID()], version) {
				versions[r.streamID()] = append(versions[r.streamID()], version)
			}
		}
		events, _ := r.events()
		for _, event := range events {
			_, version, _ := strings.Cut(event, versionMark)
			add(version)
		}
		for _, run := range runs[r.id] {
			if run.LastEventID != "" && run.LastEventID != "0" {
				add(run.Version)
			}
		}
	}
	return versions
}

// checkVersions checks that no stream holds events of two versions of a runner's
// software, neither within one response nor over the requests that take it up.
func checkVersions(h *history, runs map[string][]bystub.Run) {
	versions := versionsByStream(h.records, runs)
	joined := 0
	for _, r := range h.records {
		if v := versions[r.id]; len(v) > 1 {
			if joined++; joined <= maxListedStreams {
				h.addViolation("versions: the stream of %s holds events of %s", r.id, strings.Join(v, " and "))
			}
		}
	}
	if joined > maxListedStreams {
		h.addViolation("versions: %d further streams hold events of two versions", joined-maxListedStreams)
	}
}

// checkTakeUps checks that streams go on when they are taken up, while two runners of their
// version serve, at least half as often as new streams begin.
func (s *soak) checkTakeUps() (takenUp, begun Share) {
	versions := versionsByStream(s.history.records, nil)
	byName := s.nodesByRequest()
	type place struct {
		stream    string
		lastEvent int
	}
	goOn := map[place]bool{} // tries at one place of a stream are one take-up
	for _, r := range s.history.records {
		at := place{r.resumes, r.lastEvent}
		if goesOn, isCounted := goOn[at]; isCounted {
			if r.hasBegun() && !goesOn {
				goOn[at] = true
				takenUp.Part++
			}
			continue
		}
		serving := s.servingVersions(r.sent, r.finished)
		isSound := r.kind == kindResumable && r.poisonedPart == "" && !strings.HasPrefix(r.path, "/quick/"+repeatPrefix)
		if !isSound || !s.isInTouch(byName[r.id], r.sent) || len(serving) == 0 {
			continue
		}
		share := &begun
		if r.resumes != "" {
			if v := versions[r.resumes]; len(v) != 1 || !slices.Contains(serving, v[0]) {
				continue
			}
			share = &takenUp
			goOn[at] = r.hasBegun()
		}
		share.All++
		if r.hasBegun() {
			share.Part++
		}
	}
	checkShares(&s.history, takenUp, begun)
	return takenUp, begun
}

// hasBegun reports whether the caller of a stream got an event.
func (r record) hasBegun() bool {
	events, _ := r.events()
	return r.status == http.StatusOK && len(events) > 0
}

// checkShares compares the share of the streams that go on when they are taken up with
// that of new streams that begin.
func checkShares(h *history, takenUp, begun Share) {
	if takenUp.All >= minTakeUps && 2*takenUp.Part*begun.All < begun.Part*takenUp.All {
		h.addViolation("take-ups: %v streams go on when they are taken up, %v new ones begin", takenUp, begun)
	}
}

// isInTouch reports whether nothing disturbed the node, the store or the path between them
// in the stableWindow before t.
func (s *soak) isInTouch(n *node, t time.Time) bool {
	return n != nil && n.disturbances.isCalm(t) && n.storeCuts.isCalm(t) && s.storeDisturbances.isCalm(t)
}
