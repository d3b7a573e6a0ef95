package byentry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
)

// publishServices publishes a configuration with the given services. Each has a route of
// every kind, whose prefix is /NAME/KIND/; streams can be resumed on the route "resumable".
func (c *testCluster) publishServices(names ...string) {
	var routes, services []map[string]any
	for _, name := range names {
		for kind, attempts := range map[string]int{"safe": 2, "unsafe": 1, "resumable": 2, "streaming": 1} {
			route := map[string]any{"name": name + "-" + kind, "host": "h.example", "prefix": "/" + name + "/" + kind + "/", "kind": kind, "timeoutMs": 5000, "targetLatencyMs": 300, "attempts": attempts, "service": name}
			if kind == "resumable" {
				route["kind"], route["resumable"] = "streaming", true
			}
			route["stickySessions"] = route["kind"] == "streaming"
			routes = append(routes, route)
		}
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": c.maxConnections, "engine": map[string]any{
			"slots": 12, "kvCapacityTokens": 360000, "kvTokenBytes": 131072, "linkMbps": 740000.0, "handleTtlS": 5.0, "stageSwitchS": 3.0}})
	}
	data, err := json.Marshal(map[string]any{"version": 3, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": c.maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Set("op", "config", data)
}

// addBreakingEngine starts an engine of a service that answers a new stream with first and one that it
// is to continue with next, and registers it in the store. It closes the connection after
// each answer. In both texts, %s is the ID of the request.
func (c *testCluster) addBreakingEngine(id, service, first, next string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { l.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // otherwise closing would reset the connection
		text := first
		if req.Header.Get("Last-Event-Id") != "" {
			text = next
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", req.Header.Get("X-Request-Id")))
	}
	var group errgroup.Group
	group.Go(func() error { // returns when the listener is closed
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { serve(conn); return nil })
		}
	})
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","slots":4,"state":"ready","sequence":1,"version":"v1","stage":"decode"}`, service, l.Addr())
	c.store.Set("servers", id, []byte(entry))
}

// httpAnswer returns a response with the given status, further header lines and body.
func httpAnswer(status, header, body string) string {
	return "HTTP/1.1 " + status + "\r\nX-Request-Id: %s\r\n" + header + "\r\n" + body
}

// inChunks returns the chunks of a body, without the last one.
func inChunks(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String()
}

// testEvents returns the events with the given ids.
func testEvents(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// TestErrorOfNextEngineStaysOutOfStream guards against the failure that a stream that has
// begun and broken off holds the text of the next engine's error, or ends as if it were
// complete.
func TestErrorOfNextEngineStaysOutOfStream(t *testing.T) {
	t.Parallel()
	const sse, chunked, lastChunk = "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	withLength := func(status, header, body string) string { return httpAnswer(status, header+length(body), body) }
	inOne := func(status, header, body string) string {
		return httpAnswer(status, header+chunked, inChunks(body)+lastChunk)
	}
	const jsonError = `{"error":"overloaded"}`
	const wholeHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\noverload\n\n"
	headInChunks := inOne("200 OK", sse, testEvents(3)+strings.ReplaceAll(wholeHead, "\r", "")+testEvents(4))
	two := testEvents(1, 2)
	firsts := []struct{ name, answer string }{
		{"chunked", httpAnswer("200 OK", sse+chunked, inChunks(testEvents(1), testEvents(2)+"id: 3\nda"))},
		{"with a length", httpAnswer("200 OK", sse+"Content-Length: 500\r\n", two)},
		{"ended by close", httpAnswer("200 OK", sse, two+"id: 3\nda")},
	}
	nexts := []struct {
		name, answer string
		want         string // events that the caller gets of it
		complete     bool
	}{
		{"sound", inOne("200 OK", sse, testEvents(3, 4)), testEvents(3, 4), true},
		{"sound, with a length", withLength("200 OK", sse, testEvents(3, 4)), testEvents(3, 4), true},
		{"sound, ended by close", httpAnswer("200 OK", sse, testEvents(3, 4)), testEvents(3, 4), true},
		{"sound, with several tokens in an event", inOne("200 OK", sse, testEvents(5, 9)), testEvents(5, 9), true},
		{"sound, with comments and other fields", inOne("200 OK", sse, ": wait\n\nx-weight-versions: 2\n"+testEvents(3)+"event: end\ndata: [DONE]\n\n"), ": wait\n\nx-weight-versions: 2\n" + testEvents(3) + "event: end\ndata: [DONE]\n\n", true},
		{"400", withLength("400 Bad Request", "", "no such thing\n\n"), "", false},
		{"404 as JSON", inOne("404 Not Found", "Content-Type: application/json\r\n", jsonError+"\n\n"), "", false},
		{"404 ended by close", httpAnswer("404 Not Found", "", jsonError+"\n\n"), "", false},
		{"429 as events", withLength("429 Too Many Requests", sse, testEvents(3)), "", false},
		{"500", withLength("500 Internal Server Error", "", "failed\n\n"), "", false},
		{"500 in chunks", inOne("500 Internal Server Error", sse, testEvents(3)), "", false},
		{"500 ended by close", httpAnswer("500 Internal Server Error", "", "failed\n\n"), "", false},
		{"500 that is long", withLength("500 Internal Server Error", "", strings.Repeat("failed\n\n", 60_000)), "", false},
		{"503", withLength("503 Service Unavailable", "", "full\n\n"), "", false},
		{"503, not executed", withLength("503 Service Unavailable", "X-Not-Executed: 1\r\n", "full\n\n"), "", false},
		{"204", httpAnswer("204 No Content", "", ""), "", false},
		{"206", inOne("206 Partial Content", sse, testEvents(3, 4)), "", false},
		{"JSON", withLength("200 OK", "Content-Type: application/json\r\n", jsonError), "", false},
		{"JSON with empty lines", inOne("200 OK", "Content-Type: application/json\r\n", jsonError+"\n\n"), "", false},
		{"JSON ended by close", httpAnswer("200 OK", "Content-Type: application/json\r\n", jsonError+"\n\n"), "", false},
		{"JSON as events", withLength("200 OK", sse, jsonError), "", false},
		{"JSON as events, with empty lines", inOne("200 OK", sse, jsonError+"\n\n"), "", false},
		{"JSON as events, ended by close", httpAnswer("200 OK", sse, jsonError+"\n\n"), "", false},
		{"text without a type", withLength("200 OK", "", "overloaded\n\n"), "", false},
		{"page", inOne("200 OK", "Content-Type: text/html\r\n", "<html>\n\n</html>"), "", false},
		{"encoded", inOne("200 OK", sse+"Content-Encoding: gzip\r\n", testEvents(3, 4)), "", false},
		{"no body", httpAnswer("200 OK", sse+"Content-Length: 0\r\n", ""), "", false},
		{"no body, in chunks", httpAnswer("200 OK", sse+chunked, lastChunk), "", false},
		{"no body, ended by close", httpAnswer("200 OK", sse, ""), "", false},
		{"no events but empty lines", inOne("200 OK", sse, "\n\n\n\n"), "", false},
		{"error as an event without an id", inOne("200 OK", sse, "event: error\ndata: overloaded\n\n"), "", false},
		{"error as a field", inOne("200 OK", sse, "error: overloaded\n\n"), "", false},
		{"from the start", inOne("200 OK", sse, testEvents(1, 2, 3, 4)), "", false},
		{"the last event again", inOne("200 OK", sse, testEvents(2, 3, 4)), "", false},
		{"ids fall", inOne("200 OK", sse, testEvents(3, 5, 4)), testEvents(3, 5), false},
		{"id is no number", inOne("200 OK", sse, "id: three\ndata: x\n\n"), "", false},
		{"ends inside an event", withLength("200 OK", sse, testEvents(3)+"id: 4\ndata: pie"), testEvents(3), false},
		{"head in the middle, in chunks", headInChunks, testEvents(3), false},
		{"head in the middle, with a length", withLength("200 OK", sse, testEvents(3)+wholeHead), testEvents(3), false},
		{"head in the middle, ended by close", httpAnswer("200 OK", sse, testEvents(3)+wholeHead), testEvents(3), false},
		{"head between chunks", httpAnswer("200 OK", sse+chunked, inChunks(testEvents(3))+wholeHead), testEvents(3), false},
		{"another answer after the head", httpAnswer("200 OK", sse, wholeHead+testEvents(3)), "", false},
	}
	c := newTestCluster(t)
	c.firstStart = true
	var services []string
	for i, next := range nexts {
		for j, first := range firsts {
			service := fmt.Sprintf("s-%d-%d", i, j)
			services = append(services, service)
			for _, id := range []string{"d1-", "d2-"} {
				c.addBreakingEngine(id+service, service, first.answer, next.answer)
			}
		}
	}
	c.publishServices(services...)
	n := c.startNode("n1")
	c.waitReady(n)
	c.waitSplit()
	for i, next := range nexts {
		for j, first := range firsts {
			t.Run(next.name+"/"+first.name, func(t *testing.T) {
				got := n.call("POST", fmt.Sprintf("/s-%d-%d/resumable/1", i, j), "q", shortPrompt, shortTokens)
				if got.status != 200 || got.body != two+next.want || (got.err == nil) != next.complete {
					t.Errorf("got status %d, error %v and body %q, want status 200, a complete response: %t, and body %q", got.status, got.err, got.body, next.complete, two+next.want)
				}
			})
		}
	}
}

// TestBrokenStreamIsNoCompleteResponse guards against the failure that a caller that speaks
// HTTP/1.0, where a response ends with its connection, takes a stream that broke off for a
// complete one.
func TestBrokenStreamIsNoCompleteResponse(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name, answer string
		complete     bool
	}{
		{"complete", httpAnswer("200 OK", "Content-Type: text/event-stream\r\n", testEvents(1, 2)), true},
		{"broken off", httpAnswer("200 OK", "Content-Type: text/event-stream\r\nContent-Length: 500\r\n", testEvents(1, 2)), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.publishConfig(3, nil)
			c.addBreakingEngine("d1", "llm", tt.answer, "")
			n := c.startNode("n1")
			c.waitReady(n)
			conn, err := net.Dial("tcp4", n.settings.CallerAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := fmt.Fprintf(conn, "POST /long/1 HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: old\r\nX-Deadline-Ms: 3000\r\n%s\r\n%s\r\nContent-Length: 1\r\n\r\nq", shortPrompt, shortTokens); err != nil {
				t.Fatal(err)
			}
			if data, err := io.ReadAll(conn); (err == nil) != tt.complete {
				t.Errorf("the connection ended with error %v after %q, want an error: %t", err, data, !tt.complete)
			}
		})
	}
}

// TestCutHeadIsToldAsFailure guards against the failure that a caller gets status 200 with an
// empty or short body because an endpoint, or a node that serves the request instead, has
// stopped in the middle of a head and closed the connection.
func TestCutHeadIsToldAsFailure(t *testing.T) {
	t.Parallel()
	heads := map[string]string{
		"length": httpAnswer("200 OK", "Content-Type: text/event-stream\r\nContent-Length: 30\r\n", ""),
		"chunks": httpAnswer("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", ""),
		"close":  httpAnswer("200 OK", "Content-Type: text/event-stream\r\n", ""),
	}
	isFailure := func(got reply) bool { return got.status != 0 && got.status/100 != 2 && got.err == nil }
	t.Run("endpoint", func(t *testing.T) {
		t.Parallel()
		c := newTestCluster(t)
		var services []string
		cuts := map[string]string{}
		for frame, head := range heads {
			for n := 0; n < len(head); n += 3 {
				service := fmt.Sprintf("%s-%d", frame, n)
				services, cuts[service] = append(services, service), head[:n]
				c.addBreakingEngine("e-"+service, service, head[:n], head[:n])
			}
		}
		c.publishServices(services...)
		n := c.startNode("n1")
		c.waitReady(n)
		for service, cut := range cuts {
			for kind, method := range map[string]string{"safe": "GET", "unsafe": "POST", "resumable": "POST", "streaming": "POST"} {
				if got := n.call(method, "/"+service+"/"+kind+"/1", "", shortPrompt, shortTokens); !isFailure(got) {
					t.Errorf("%s with a head cut after %q got %+v, want the status of a failure", kind, cut, got)
				}
			}
		}
	})
	t.Run("another node", func(t *testing.T) {
		t.Parallel()
		c, n := newCutNode(t)
		var cut atomic.Pointer[string]
		c.addFakePeer(n, "p1", func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, strings.ReplaceAll(*cut.Load(), "%s", r.Header.Get("X-Request-Id")))
		})
		c.waitUntil("the node knows the other", func() bool { return len(n.directoryAddrs()) >= 1 })
		for _, head := range heads {
			for i := 0; i < len(head); i += 5 {
				text := head[:i]
				cut.Store(&text)
				for _, path := range []string{"/read/1", "/book/1"} {
					if got := n.call("POST", path, "x"); !isFailure(got) {
						t.Errorf("%s with a head cut after %q got %+v, want the status of a failure", path, text, got)
					}
				}
			}
		}
	})
}
