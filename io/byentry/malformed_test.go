package byentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdockyard/platform/bystub"
)

// possibleRuns is how often a request may run on a route of each kind of publishServices.
var possibleRuns = map[string]int{"safe": 2, "unsafe": 1, "resumable": 2, "streaming": 1}

// addRawServer starts a bystub.RawServer and registers it in the store as an endpoint, in place
// of one that has the ID.
func (c *testCluster) addRawServer(id, service, text string, end bystub.RawEnd) *bystub.RawServer {
	c.t.Helper()
	s, err := bystub.ListenRaw(text, end)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { s.Close() })
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","slots":4,"state":"ready","sequence":1000,"version":"v1","stage":"decode"}`, service, s.Addr())
	c.store.Set("servers", id, []byte(entry))
	return s
}

// rawAnswer is what the endpoints of one service answer.
type rawAnswer struct {
	name   string
	answer string
	end    bystub.RawEnd
	sound  string // body that the caller gets of a sound answer; empty if the answer is broken
	reason string // part of the error in the log if it is broken
}

// testRawAnswers sends requests with the given body to endpoints that give the answers,
// on a route of each kind. A caller must get sound answers, and none that is broken; those
// count as runs. A stream of which the caller has got events is cut off instead.
func testRawAnswers(t *testing.T, repetitions int, body string, answers []rawAnswer) {
	c := newTestCluster(t)
	c.maxBodyBytes = 16 << 20
	var services []string
	servers := map[string][]*bystub.RawServer{} // by service
	for i, a := range answers {
		service := fmt.Sprint("s-", i)
		services = append(services, service)
		for _, id := range []string{"d1-", "d2-"} {
			servers[service] = append(servers[service], c.addRawServer(id+service, service, a.answer, a.end))
		}
	}
	c.publishServices(services...)
	n := c.startNode("n1")
	c.waitReady(n)
	runs := func(service string) int { return servers[service][0].Requests() + servers[service][1].Requests() }
	for i, a := range answers {
		t.Run(a.name, func(t *testing.T) {
			logged := len(c.logs.String())
			for kind, limit := range possibleRuns {
				for range repetitions {
					before := runs(services[i])
					got := n.call("POST", "/"+services[i]+"/"+kind+"/1", body, shortPrompt, shortTokens)
					switch ran := runs(services[i]) - before; {
					case a.sound != "":
						if got.err != nil || got.body != a.sound || ran != 1 {
							t.Errorf("%s: got %+v after %d runs, want the answer of the only run", kind, got, ran)
						}
					case !isFailureOf(kind, got):
						t.Errorf("%s: got %+v, want status 502 or a stream that is cut off", kind, got)
					case ran < 1 || ran > limit:
						t.Errorf("%s: the request ran %d times, want 1 to %d", kind, ran, limit)
					}
				}
			}
			if a.sound == "" && !strings.Contains(c.logs.String()[logged:], a.reason) {
				t.Errorf("no line of the log says %q", a.reason)
			}
		})
	}
}

// isFailureOf reports whether a caller on a route of the given kind is told that a request
// failed that may have run: by its status, or by a stream that is cut off.
func isFailureOf(kind string, got reply) bool {
	isStream := kind == "resumable" || kind == "streaming"
	return got.err == nil && got.status == http.StatusBadGateway && !strings.Contains(got.body, "piece") ||
		isStream && got.err != nil && got.status == http.StatusOK
}

const (
	eventStream = "Content-Type: text/event-stream\r\n"
	longUpload  = 8 << 20
	resetByPeer = "connection reset by peer"
)

// TestResetWhileUploadingIsNoCompleteResponse guards against the failure that a caller gets a
// part of an answer as a complete one, because its endpoint resets the connection while the
// request is still being written.
func TestResetWhileUploadingIsNoCompleteResponse(t *testing.T) {
	t.Parallel()
	two := testEvents(1, 2)
	testRawAnswers(t, 5, strings.Repeat("x", longUpload), []rawAnswer{
		{name: "part of a body", answer: httpAnswer("200 OK", "", "piece of an answer"), end: bystub.RawReset, reason: resetByPeer},
		{name: "whole events", answer: httpAnswer("200 OK", eventStream, two), end: bystub.RawReset, reason: resetByPeer},
		{name: "closed with the upload unread", answer: httpAnswer("200 OK", eventStream, two), end: bystub.RawCloseUnread, reason: resetByPeer},
		{name: "failure", answer: httpAnswer("500 Internal Server Error", "", "piece of an error"), end: bystub.RawReset, reason: resetByPeer},
		{name: "rejection", answer: httpAnswer("404 Not Found", "", "piece of an error"), end: bystub.RawReset, reason: resetByPeer},
		{name: "with a length", answer: httpAnswer("200 OK", eventStream+fmt.Sprintf("Content-Length: %d\r\n", len(two)), two), end: bystub.RawReset, sound: two},
		{name: "in chunks", answer: httpAnswer("200 OK", eventStream+"Transfer-Encoding: chunked\r\n", inChunks(two)+"0\r\n\r\n"), end: bystub.RawReset, sound: two},
		{name: "upload read, then closed", answer: httpAnswer("200 OK", eventStream, two), end: bystub.RawClose, sound: two},
	})
}

// TestBrokenLongResponseIsNotCompleteInHTTP10 guards against the failure that a caller that
// speaks HTTP/1.0, where a response ends with its connection, takes a long response for
// complete whose endpoint has reset the connection while the request was being written.
func TestBrokenLongResponseIsNotCompleteInHTTP10(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.maxBodyBytes = 16 << 20
	c.addRawServer("d1", "app", httpAnswer("200 OK", "", strings.Repeat("x", 600<<10)), bystub.RawReset)
	c.publishConfig(3, nil)
	n := c.startNode("n1")
	c.waitReady(n)
	for range 5 {
		if status, err := n.upload("1.0", "/read/1", fmt.Sprint("old-", requestCount.Add(1))); err == nil && status != http.StatusBadGateway {
			t.Errorf("got status %d and a complete response, want status 502 or a reset", status)
		}
	}
}

// TestBrokenResponseOfPeerIsNoAnswer guards against the failure that a node passes on a broken
// answer of another node, to which it hands a request over.
func TestBrokenResponseOfPeerIsNoAnswer(t *testing.T) {
	t.Parallel()
	const piece, length = "piece of an answer", "Content-Length: 18\r\n"
	for _, tt := range []struct {
		name, answer string
		size         int // of the request body, in bytes; the connection is reset if it is long
	}{
		{"reset while uploading", httpAnswer("200 OK", "", piece), longUpload},
		{"status 000", httpAnswer("000 X", length, piece), 1},
		{"status 600", httpAnswer("600 X", length, piece), 1},
		{"blank in a name", httpAnswer("200 OK", "X : 1\r\n"+length, piece), 1},
		{"blank in a name of a trailer", httpAnswer("200 OK", "Transfer-Encoding: chunked\r\n", inChunks(piece)+"0\r\nX : 1\r\n\r\n"), 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, n := newCutNode(t, func(c *testCluster) { c.maxBodyBytes = 16 << 20 })
			var received atomic.Int64
			c.addFakePeer(n, "p1", func(w http.ResponseWriter, r *http.Request) {
				received.Add(1)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, strings.ReplaceAll(tt.answer, "%s", r.Header.Get("X-Request-Id")))
				if tt.size == longUpload {
					time.Sleep(10 * time.Millisecond) // the node reads the part meanwhile
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			c.waitUntil("the node knows the other", func() bool { return len(n.directoryAddrs()) >= 1 })
			for range 5 {
				for _, path := range []string{"/read/1", "/book/1"} {
					var got reply
					c.waitUntil("the other node gets the request", func() bool { // it may count as lost for a moment
						before := received.Load()
						got = n.call("POST", path, strings.Repeat("x", tt.size))
						return received.Load() > before
					})
					if got.status != http.StatusBadGateway || got.err != nil {
						t.Errorf("%s got %+v, want status 502", path, got)
					}
				}
			}
		})
	}
}

// nestedAnswer is a sound answer inside the body of another one.
func nestedAnswer(status, header string) string {
	inner := httpAnswer("200 OK", eventStream+"Content-Length: 21\r\n", testEvents(1))
	return httpAnswer(status, header+"Content-Length: 250\r\n", inner+inner)
}

// TestInvalidStatusIsNoAnswer guards against the failure that a caller gets a response whose
// status is none, or what stands in its body as the response.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	sound := httpAnswer("200 OK", eventStream+"Content-Length: 21\r\n", testEvents(1))
	var answers []rawAnswer
	for _, status := range []string{"000", "001", "099", "101", "600", "799", "999", "+20", "-00"} {
		code := strings.TrimLeft(status, "+-")
		if len(code) < len(status) {
			code = "0" + code // as it is logged
		}
		reason := "malformed reply: status " + code
		answers = append(answers,
			rawAnswer{name: status + ", with a body", answer: httpAnswer(status+" X", "Content-Length: 5\r\n", "piece"), reason: reason},
			rawAnswer{name: status + ", with text until the end", answer: httpAnswer(status+" X", "", "piece"), reason: reason},
			rawAnswer{name: status + ", with an answer in its body", answer: nestedAnswer(status+" X", eventStream), reason: reason},
			rawAnswer{name: status + ", then a sound answer", answer: httpAnswer(status+" X", "", "") + sound, reason: reason},
			rawAnswer{name: "interim response, then " + status, answer: httpAnswer("103 Early Hints", "", "") + httpAnswer(status+" X", "", ""), reason: reason},
		)
	}
	for _, status := range []string{"20", "2000", "2x0", "\u0662\u0660\u0660"} {
		answers = append(answers, rawAnswer{name: status, answer: httpAnswer(status+" X", "Content-Length: 5\r\n", "piece"), reason: "malformed HTTP status code"})
	}
	for _, status := range []string{"100", "102", "103", "199"} {
		answers = append(answers, rawAnswer{name: status + ", interim", answer: httpAnswer(status+" X", "", "") + sound, sound: testEvents(1)})
	}
	testRawAnswers(t, 1, "q", answers)
}

// TestMalformedFieldNameIsNoAnswer guards against the failure that a caller gets a response in
// whose header the name of a field holds a blank or a control byte: a field that frames the body
// is then not recognized, so that the caller gets other bytes, and neither is one that says what
// the response means.
func TestMalformedFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()
	const length, chunked, lastChunk = "Content-Length: 21\r\n", "Transfer-Encoding: chunked\r\n", "0\r\n"
	one := testEvents(1)
	whole := func(header string) string { return httpAnswer("200 OK", header+eventStream+length, one) }
	blank := func(name, answer string) rawAnswer {
		return rawAnswer{name: name, answer: answer, reason: "malformed reply: field name"}
	}
	folded := func(name, answer string) rawAnswer {
		return rawAnswer{name: name, answer: answer, reason: "malformed reply: folded line"}
	}
	answers := []rawAnswer{
		blank("length", httpAnswer("200 OK", eventStream+"Content-Length : 21\r\n", one+"id: 2\ndata: piece 2\n\n")),
		blank("chunks", httpAnswer("200 OK", eventStream+"Transfer-Encoding : chunked\r\n", inChunks(one)+lastChunk+"\r\n")),
		blank("request ID", strings.Replace(whole(""), "Id:", "Id :", 1)),
		blank("second request ID", whole("X-Request-Id : other\r\n")),
		blank("not executed", httpAnswer("503 Service Unavailable", "X-Not-Executed : 1\r\nContent-Length: 5\r\n", "piece")),
		blank("not executed, success", whole("X-Not-Executed : 1\r\n")),
		blank("encoding", whole("Content-Encoding : gzip\r\n")),
		blank("stamp", whole("X-Response-Stamp : s\r\n")),
		blank("any other field", whole("X-Note : 1\r\n")),
		blank("two blanks", whole("X-Note  : 1\r\n")),
		blank("inside", whole("X Note: 1\r\n")),
		blank("nothing but a blank before the colon", whole("X-Note: 1\r\nX : 1\r\n")),
		blank("folded value", whole("X-Note : a\r\n b\r\n")),
		blank("failure", httpAnswer("500 Internal Server Error", "X-Note : 1\r\nContent-Length: 5\r\n", "piece")),
		blank("interim response", "HTTP/1.1 103 Early Hints\r\nX-Note : 1\r\n\r\n"+whole("")),
		blank("trailer", httpAnswer("200 OK", eventStream+chunked, inChunks(one)+lastChunk+"X-Note : 1\r\n\r\n")),
		blank("trailer that is announced", httpAnswer("200 OK", eventStream+"Trailer: X-Note\r\n"+chunked, inChunks(one)+lastChunk+"X-Note : 1\r\n\r\n")),
		folded("folded length", httpAnswer("200 OK", eventStream+"X-Note: a\r\n Content-Length: 21\r\n", one+"id: 2\ndata: piece 2\n\n")),
		folded("folded chunks", httpAnswer("200 OK", eventStream+"X-Note: a\r\n\tTransfer-Encoding : chunked\r\n", inChunks(one)+lastChunk+"\r\n")),
		folded("folded line of an interim response", "HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n X-Other: 1\r\n\r\n"+whole("")),
		{name: "folded value without a name", answer: whole("X-Note: a\r\n b c; d=\"e: f\"\r\n"), sound: one},
		{name: "folded date", answer: whole("X-Date: Mon,\r\n 07 Dec 2026 03:00:00 GMT\r\n"), sound: one},
		{name: "blanks around a value", answer: httpAnswer("200 OK", eventStream+"Content-Length: \t21 \t\r\n", one), sound: one},
		{name: "no blank before a value", answer: httpAnswer("200 OK", eventStream+"Content-Length:21\r\n", one), sound: one},
		{name: "all characters of a name", answer: whole("!#$%&'*+-.^_`|~09azAZ: 1\r\n"), sound: one},
		{name: "trailer, sound", answer: httpAnswer("200 OK", eventStream+chunked, inChunks(one)+lastChunk+"X-Note: 1\r\n\r\n"), sound: one},
		{name: "events that look like folded lines", answer: httpAnswer("200 OK", eventStream+"Content-Length: 28\r\n", "\n x: 1\n"+one), sound: "\n x: 1\n" + one},
		{name: "blank before the first field", answer: strings.Replace(whole(""), "X-Request-Id", " X-Request-Id", 1), reason: "malformed"},
		{name: "empty name", answer: whole(": 1\r\n"), reason: "malformed"},
	}
	for b := range 256 {
		if b < ' ' || b >= 0x7f {
			name := "X-No" + string([]byte{byte(b)}) + "te"
			answers = append(answers,
				rawAnswer{name: fmt.Sprintf("byte %#x", b), answer: whole(name + ": 1\r\n"), reason: "malformed"},
				rawAnswer{name: fmt.Sprintf("byte %#x in an interim response", b), answer: "HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\n" + whole(""), reason: "malformed"},
				rawAnswer{name: fmt.Sprintf("byte %#x in a trailer", b), answer: httpAnswer("200 OK", eventStream+chunked, inChunks(one)+lastChunk+name+": 1\r\n\r\n"), reason: "malformed"})
		}
	}
	testRawAnswers(t, 1, "q", answers)
}

// TestMalformedAnswerFreesNoPath guards against the failure that a quarantined path is free
// again because a trial request of it got a malformed answer.
func TestMalformedAnswerFreesNoPath(t *testing.T) {
	t.Parallel()
	const length, chunked = "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"
	for _, tt := range []struct {
		name, answer string
		frees        bool
	}{
		{"sound", httpAnswer("200 OK", length, "done"), true},
		{"status 000", httpAnswer("000 X", length, "done"), false},
		{"blank in a name", httpAnswer("200 OK", "X : 1\r\n"+length, "done"), false},
		{"blank in a name of a trailer", httpAnswer("200 OK", chunked, inChunks("done")+"0\r\nX : 1\r\n\r\n"), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const path = "/read/bad"
			c := newPoisonedCluster(t, 1, 1, false)
			ids := []string{"app-0", "app-1", "app-2", "app-3"}
			for _, id := range ids {
				c.addCrashingRunner(bystub.RunnerConfig{ID: id, Service: "app", Zone: "a", ServiceTime: 5 * time.Millisecond},
					func(req *http.Request) bool { return req.URL.Path == path })
			}
			n, request := c.nodes[0], 0
			call := func(path string) reply {
				request++
				return n.call("GET", path+"?q="+fmt.Sprint(request), "")
			}
			c.waitUntil("sound calls are served", func() bool { return call("/read/good").status == 200 })
			c.waitUntil("the path is quarantined", func() bool {
				call(path)
				return strings.Contains(c.logs.String(), "input quarantined")
			})
			time.Sleep(2 * engineDownTime) // the entries of the endpoints that ended come back
			var servers []*bystub.RawServer
			for _, id := range ids {
				servers = append(servers, c.addRawServer(id, "app", tt.answer, bystub.RawClose))
			}
			trials := func() (n int) {
				for _, s := range servers {
					n += s.Requests()
				}
				return n
			}
			isFree := func() bool { return strings.Contains(c.logs.String(), "input is free again") }
			c.waitUntil("a trial request has run", func() bool { call(path); return trials() > 0 })
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && !isFree(); time.Sleep(50 * time.Millisecond) {
				call(path)
			}
			if isFree() != tt.frees {
				t.Errorf("after %d trials the path is free: %t, want %t", trials(), !tt.frees, tt.frees)
			}
		})
	}
}

// TestBrokenAnswerStaysBrokenThroughTwoNodes guards against the failure that an answer which a node
// knows to be broken looks complete to the node that has handed the request over, or to its
// caller, who may speak HTTP/1.0.
func TestBrokenAnswerStaysBrokenThroughTwoNodes(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.maxBodyBytes = 16 << 20
	c.publishConfig(3, nil)
	for i := range 10 { // so many that none is set aside for its failures
		c.addRawServer(fmt.Sprint("app-", i), "app", httpAnswer("200 OK", "", strings.Repeat("x", 600<<10)), bystub.RawReset)
		c.addRawServer(fmt.Sprint("d-", i), "llm", httpAnswer("200 OK", eventStream, testEvents(1, 2)), bystub.RawReset)
	}
	n1, n2 := c.startNodeWithPaths("n1"), c.startNode("n2")
	c.waitReady(n1)
	c.waitReady(n2)
	if err := n1.paths.Cut(bystub.CutReset); err != nil {
		t.Fatal(err)
	}
	handedOver := func(id string) bool {
		for line := range strings.Lines(c.logs.String()) {
			if strings.Contains(line, `"request":"`+id+`"`) && strings.Contains(line, "calls: handed over") {
				return true
			}
		}
		return false
	}
	for _, path := range []string{"/read/1", "/book/1", "/quick/1", "/long/1"} {
		n2.call("POST", path, "x", shortPrompt, shortTokens) // a node states only links that it has used
		for _, version := range []string{"1.0", "1.1"} {
			var status int
			var err error
			c.waitUntil("a request is handed over", func() bool {
				id := fmt.Sprint("two-", requestCount.Add(1))
				status, err = n1.upload(version, path, id)
				return handedOver(id)
			})
			if status == 0 || err == nil && status != http.StatusBadGateway {
				t.Errorf("%s, HTTP/%s: got status %d and error %v, want status 502 or a response that is cut off", path, version, status, err)
			}
		}
	}
}

// upload sends a request with a long body in the given version of HTTP, and returns the status
// of the response, 0 if there is no head, and an error if it is not complete.
func (n *testNode) upload(version, path, id string) (status int, err error) {
	conn, err := net.Dial("tcp4", n.settings.CallerAddr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n%s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		path, version, id, shortPrompt, shortTokens, longUpload, strings.Repeat("x", longUpload))
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
