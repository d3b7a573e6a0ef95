package bysoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"burdockyard/platform/bystub"
)

const (
	// callerDeadline is how long a caller waits for a response.
	callerDeadline = 3 * time.Second
	// reconnectShare is the share of the requests after which a caller connects anew while
	// nodes are cut off. Otherwise callers would soon be with nodes that are whole.
	reconnectShare = 0.5
	// callerPause is the maximum pause between two requests of a caller.
	callerPause = 40 * time.Millisecond
)

// isReady reports whether the node's readiness endpoint answers 200.
func isReady(ctx context.Context, n *node) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.readyAddr+"/-/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runCaller sends requests one after another until ctx is done. It reuses its
// connection until the node closes it, and then connects to a random node.
func (s *soak) runCaller(ctx context.Context, id int, rng *rand.Rand) {
	var conn net.Conn
	var br *bufio.Reader
	var target *node
	var nodeStart int
	poisonRNG := rand.New(rand.NewPCG(s.cfg.Seed, uint64(10_000+id)))
	takeUpRNG := rand.New(rand.NewPCG(s.cfg.Seed, uint64(20_000+id)))
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(rng.Int64N(int64(callerPause))))
		if conn == nil {
			target = s.nodes[rng.IntN(len(s.nodes))]
			target.mu.Lock()
			nodeStart = target.starts
			target.mu.Unlock()
			c, err := net.DialTimeout("tcp4", target.callerAddr, time.Second)
			if err != nil {
				s.recordFailedDial(target)
				continue
			}
			conn, br = c, bufio.NewReader(c)
		}
		r := s.randomRequest(fmt.Sprintf("c%d-%d", id, i), rng)
		if repeat, ok := s.repeatedRequest(poisonRNG); ok {
			repeat.id = r.id
			r = repeat
		} else if r.ownTokens > 0 {
			r.poisonedPart = s.poisonedPart(poisonRNG)
		}
		if s.hasVersions() && r.kind == kindResumable && takeUpRNG.Float64() < s.breakOffShare() {
			r.breakOffAfter = 1 + takeUpRNG.IntN(eventsPerStream-1)
		}
		r.node, r.nodeStart, r.sent = target.name, nodeStart, time.Now()
		reusable := sendRequest(conn, br, &r)
		r.finished = time.Now()
		s.history.add(r)
		if !reusable || s.cfg.Trouble == Cuts && rng.Float64() < reconnectShare {
			conn.Close()
			conn = nil
		}
		if s.hasVersions() && r.kind == kindResumable {
			s.takeUp(r, takeUpRNG)
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// randomRequest returns a request of a random kind.
func (s *soak) randomRequest(id string, rng *rand.Rand) record {
	s.mu.Lock()
	version := s.configVersion
	s.mu.Unlock()
	kind := rng.IntN(10)
	if s.cfg.Trouble == Wakes && kind < 6 {
		kind = 6 // only streams are taken up
	}
	switch kind {
	case 0, 1, 2:
		return record{id: id, kind: kindSafe, method: "GET", path: "/read/" + id}
	case 3, 4, 5:
		return record{id: id, kind: kindUnsafe, method: "POST", path: "/book/" + id, body: strings.Repeat("x", rng.IntN(3000))}
	case 6, 7:
		return record{id: id, kind: kindResumable, method: "POST", path: "/quick/" + id, body: "q", sharedPart: 1, sharedTokens: 92, ownTokens: 290}
	case 8:
		return record{id: id, kind: kindNonResumable, method: "POST", path: "/long/" + id, body: strings.Repeat("s", 20_000),
			sharedPart: 1 + rng.IntN(9), sharedTokens: 13_300, ownTokens: 3_700}
	default:
		v := max(version-rng.IntN(3), 1)
		return record{id: id, kind: kindVersionProbe, version: v, method: "GET", path: fmt.Sprintf("/version-%d/%s", v, id)}
	}
}

// sendRequest sends a request and stores the response in r. It reports whether
// the connection can be reused.
func sendRequest(conn net.Conn, br *bufio.Reader, r *record) bool {
	timeLeft := callerDeadline
	if !r.deadline.IsZero() {
		timeLeft = time.Until(r.deadline)
	}
	if err := conn.SetDeadline(time.Now().Add(timeLeft)); err != nil {
		return false
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.path, bystub.Host) +
		bystub.RequestHeaders(r.id, timeLeft, r.sharedPart, r.sharedTokens, r.poisonedPart, r.ownTokens)
	if r.resumes != "" {
		head += fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", r.resumes, r.lastEvent)
	}
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+r.body); err != nil {
		return false
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: r.method})
	if err != nil {
		return false
	}
	r.status, r.stamp, r.retryAfter = resp.StatusCode, bystub.ResponseStamp(resp.Header), resp.Header.Get("Retry-After")
	if r.breakOffAfter > 0 && r.status == http.StatusOK {
		r.answer, r.complete = readUntilBreak(conn, resp.Body, r.breakOffAfter)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	r.answer, r.complete = string(body), err == nil
	return err == nil && !resp.Close
}
