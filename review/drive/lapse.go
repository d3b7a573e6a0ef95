package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdockyard/platform/bystub"
)

func init() {
	cases["rest"] = playRest
	cases["limit"] = playLimit
}

const (
	// cutTime is how long the runner is cut off from the store: as long as a cut of runners
	// lasts unless a day says otherwise.
	cutTime = 5 * time.Second
	// viaHeader names the node to which a client has sent a request.
	viaHeader    = "X-Sent-To"
	callDeadline = 4 * time.Second
)

// arrival is a request that has reached a runner.
type arrival struct {
	at  time.Time
	via string // node that has sent it
	id  string
}

// plainRunner is a runner of a plain service.
type plainRunner struct {
	id       string
	workTime time.Duration
	limit    string // Server-Limit; empty for none
	born     int64
	rest     time.Duration // Retry-After of the answers that turn requests away; 0 for none
	turnAway atomic.Bool

	mu       sync.Mutex
	arrivals []arrival
	askedFor map[string]time.Time // when each node was first asked for a rest
	told     map[string]time.Time // when each node first got the limit
}

// entry returns the runner's entry.
func (r *plainRunner) entry(addr string) entryWriter {
	return func(state string, seq int) []byte {
		data, err := json.Marshal(map[string]any{
			"service": "app", "address": addr, "zone": "a", "version": "v1", "slots": 32, "state": state, "coldRemainingMs": 0, "sequence": seq, "born": r.born,
		})
		if err != nil {
			panic(err) // plain values always encode
		}
		return data
	}
}

// ServeHTTP implements http.Handler.
func (r *plainRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id, via := req.Header.Get("X-Request-Id"), req.Header.Get(viaHeader)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), via, id})
	r.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if r.limit != "" {
		w.Header().Set("Server-Limit", r.limit)
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.turnAway.Load() {
		w.Header().Set("X-Not-Executed", "1")
		if r.rest > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(r.rest.Seconds()))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		r.mu.Lock()
		defer r.mu.Unlock()
		if _, ok := r.askedFor[via]; !ok {
			r.askedFor[via] = time.Now()
		}
		return
	}
	time.Sleep(r.workTime)
	w.Header().Set("X-Response-Stamp", "stamp-"+r.id+"-"+id)
	_, _ = io.WriteString(w, "done "+id) // fails only if the node has closed the connection
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.told[via]; !ok {
		r.told[via] = time.Now()
	}
}

// lapseDeployment starts five runners, three nodes and clients. The last runner is the one in
// need.
func lapseDeployment(d *deployment, workTime time.Duration, limit string, rest time.Duration, clients int, stop chan struct{}) (*plainRunner, *runner, *sync.WaitGroup, error) {
	d.store.Set("op", "config", lapseConfig())
	var stub *plainRunner
	var registered *runner
	for i := range 5 {
		stub = &plainRunner{
			id: fmt.Sprint("app-", i), workTime: workTime, born: time.Now().UnixMilli(), rest: rest,
			askedFor: map[string]time.Time{}, told: map[string]time.Time{},
		}
		if i == 4 {
			stub.limit = limit
		}
		addr, err := d.serve(stub)
		if err != nil {
			return nil, nil, nil, err
		}
		registered = d.addRunner(stub.id, stub.entry(addr))
	}
	for i := range 3 {
		if err := d.addNode(fmt.Sprint("n", i), string(rune('a'+i)), 0.4); err != nil {
			return nil, nil, nil, err
		}
	}
	if err := d.waitReady(); err != nil {
		return nil, nil, nil, err
	}
	group := &sync.WaitGroup{}
	for i := range clients {
		group.Go(func() {
			callLoop(d.nodes[i%len(d.nodes)], i, stop)
		})
	}
	return stub, registered, group, nil
}

// callLoop sends requests to a node, on a connection that it keeps, until stop is closed.
func callLoop(n *node, number int, stop chan struct{}) {
	var conn net.Conn
	var br *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(rand.N(100 * time.Millisecond)):
		}
		if conn == nil {
			c, err := net.DialTimeout("tcp4", n.addr(callerPort), time.Second)
			if err != nil {
				continue
			}
			conn, br = c, bufio.NewReader(c)
		}
		id := fmt.Sprintf("c%d-%d", number, i)
		head := fmt.Sprintf("GET /read/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", id, bystub.Host, viaHeader, n.name) + bystub.RequestHeaders(id, callDeadline, 0, 0, "", 0)
		ok := conn.SetDeadline(time.Now().Add(callDeadline)) == nil
		if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
			ok = false
		}
		if ok {
			resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
			if ok = err == nil; ok {
				_, err = io.Copy(io.Discard, resp.Body)
				ok = err == nil && !resp.Close
			}
		}
		if !ok {
			conn.Close()
			conn = nil
		}
	}
}

// playRest has a runner turn requests away with Retry-After for a moment. In the disruption,
// its entry lapses and comes back within that time.
func playRest(d *deployment, trouble bool) (verdict, error) {
	const rest = 30 * time.Second
	stop := make(chan struct{})
	stub, registered, group, err := lapseDeployment(d, 20*time.Millisecond, "", rest, 45, stop)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	stub.turnAway.Store(true)
	d.rec.add("%s turns requests away with Retry-After: %v for a second", stub.id, rest.Seconds())
	time.Sleep(time.Second)
	stub.turnAway.Store(false)
	lapse(d, registered, trouble)
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	stub.mu.Lock()
	defer stub.mu.Unlock()
	worst, text := 0, ""
	for _, n := range d.nodes {
		since, ok := stub.askedFor[n.name]
		if !ok {
			return verdict{}, fmt.Errorf("%s turned no request of %s away", stub.id, n.name)
		}
		count := 0
		for _, a := range stub.arrivals {
			if a.via == n.name && a.at.Sub(since) >= 500*time.Millisecond && a.at.Sub(since) < rest {
				count++
				d.rec.add("%s reaches %s from %s, %.3f s after the node was asked to rest for %v s", a.id, stub.id, a.via, a.at.Sub(since).Seconds(), rest.Seconds())
			}
		}
		worst = max(worst, count)
		text += fmt.Sprintf(" %d from %s;", count, n.name)
	}
	return verdict{broken: worst > 2, summary: "rest: requests that reached the runner within the time of its Retry-After (allowed: 2 a machine):" + strings.TrimSuffix(text, ";")}, nil
}

// playLimit has a runner name a limit. In the disruption, its entry lapses and comes back.
func playLimit(d *deployment, trouble bool) (verdict, error) {
	const perSecond = 1.0
	stop := make(chan struct{})
	stub, registered, group, err := lapseDeployment(d, 200*time.Millisecond, "1", 0, 120, stop)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(12 * time.Second) // until the limit is known and kept
	settled := time.Now()
	lapse(d, registered, trouble)
	time.Sleep(8 * time.Second)
	close(stop)
	group.Wait()
	stub.mu.Lock()
	defer stub.mu.Unlock()
	const window = 4 * time.Second
	allowed := 1.5*perSecond*window.Seconds() + 5
	most := 0
	var from time.Time
	for _, first := range stub.arrivals {
		if first.at.Before(settled.Add(-window)) {
			continue
		}
		count := 0
		for _, a := range stub.arrivals {
			told, ok := stub.told[a.via]
			if in := a.at.Sub(first.at); ok && a.at.Sub(told) >= 500*time.Millisecond && in >= 0 && in < window {
				count++
			}
		}
		if count > most {
			most, from = count, first.at
		}
	}
	for _, a := range stub.arrivals {
		if in := a.at.Sub(from); in >= 0 && in < window {
			d.rec.add("%s reaches %s from %s, %.3f s into the window", a.id, stub.id, a.via, in.Seconds())
		}
	}
	return verdict{
		broken:  float64(most) > allowed,
		summary: fmt.Sprintf("limit: the runner names %g a second in all answers and gets %d requests in 4 s (allowed: %g)", perSecond, most, allowed),
	}, nil
}

// lapse cuts a runner off from the store for cutTime, so that its entry lapses after three
// heartbeats and is back afterwards. Without trouble it only waits.
func lapse(d *deployment, r *runner, trouble bool) {
	if trouble {
		d.rec.add("%s is cut off from the store", r.id)
		r.setCut(true)
	}
	time.Sleep(cutTime)
	r.setCut(false)
	d.rec.add("%s reaches the store", r.id)
}

// lapseConfig returns a configuration with one safe route.
func lapseConfig() []byte {
	return []byte(`{"version":1,"routes":[{"name":"read","host":"` + bystub.Host + `","prefix":"/read/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"app","attempts":2,"stickySessions":false,"resumable":false}],` +
		`"services":[{"name":"app","healthPath":"/health","maxConnections":200,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
}
