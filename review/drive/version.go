package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockyard/platform/bystub"
)

func init() {
	cases["version"] = playVersion
	cases["restart"] = playRestart
}

const (
	streamEvents   = 24
	eventInterval  = 100 * time.Millisecond
	streamDeadline = 3 * time.Second
	versionClients = 900
	// freezeTime is within the longest freeze of the site files (6.6 s).
	freezeTime = 6500 * time.Millisecond
	// releaseAfter is when the release begins, and killAfter when a node is killed, counted
	// from the beginning of the freeze.
	releaseAfter = 1300 * time.Millisecond
	killAfter    = freezeTime + 700*time.Millisecond
	// restartTime is how long a runner that has crashed is away, and secondCrash the time
	// between the crashes.
	restartTime   = 1900 * time.Millisecond
	secondCrash   = 2100 * time.Millisecond
	restartRounds = 8
	restartPause  = 5730 * time.Millisecond
)

// stream is what a client got of one stream, over all its tries.
type stream struct {
	began    string // ID of the request that brought the first event
	last     int    // id of the last event
	versions []string
	tries    []string
}

// playVersion releases a new version of the runners. In the disruption, one node is frozen
// meanwhile, and another one is killed after that.
func playVersion(d *deployment, trouble bool) (verdict, error) {
	d.store.Set("op", "config", versionConfig())
	var old []*engine
	for i := range 8 {
		e, err := d.startEngine(fmt.Sprint("old-", i), "v1")
		if err != nil {
			return verdict{}, err
		}
		old = append(old, e)
	}
	clients, err := d.startVersionClients()
	if err != nil {
		return verdict{}, err
	}
	frozen, killed := d.nodes[1], d.nodes[2]
	start := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(start.Add(after))) }
	if trouble {
		d.rec.add("%s is frozen", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		frozen.turnedAway.Store(true)
	}
	at(releaseAfter)
	d.rec.add("release: four new runners start, four old ones drain")
	for i := range 4 {
		if _, err := d.startEngine(fmt.Sprint("new-", i), "v2"); err != nil {
			return verdict{}, err
		}
	}
	for _, e := range old[:4] {
		e.registered.drain()
	}
	at(freezeTime)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		d.rec.add("%s wakes", frozen.name)
	}
	at(killAfter)
	if trouble {
		killed.signal(syscall.SIGKILL)
		d.rec.add("%s is killed", killed.name)
		<-killed.exited()
		time.Sleep(time.Second)
		if err := d.startNode(killed); err != nil {
			return verdict{}, err
		}
		d.rec.add("%s starts again", killed.name)
	}
	at(9 * time.Second)
	frozen.turnedAway.Store(false)
	at(killAfter + 5*time.Second)
	return clients.verdict("version"), nil
}

// playRestart runs two versions side by side. In the disruption, runners crash and are back
// after some seconds, under the ids that they had, one of them with the other version.
func playRestart(d *deployment, trouble bool) (verdict, error) {
	d.store.Set("op", "config", versionConfig())
	var engines []*engine
	for i := range 8 {
		e, err := d.startEngine(fmt.Sprint("e-", i), []string{"v1", "v2"}[i%2])
		if err != nil {
			return verdict{}, err
		}
		engines = append(engines, e)
	}
	clients, err := d.startVersionClients()
	if err != nil {
		return verdict{}, err
	}
	start := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(start.Add(after))) }
	for i := range restartRounds {
		// The first of two runners of one version is back as the other version.
		version, other := "v1", "v2"
		if i%2 == 1 {
			version, other = other, version
		}
		var same []*engine
		for _, e := range engines {
			if e.next == version {
				same = append(same, e)
			}
		}
		begin := time.Duration(i) * restartPause
		at(begin)
		if trouble {
			d.rec.add("%s crashes", same[0].registered.id)
			same[0].crash(restartTime, other)
		}
		at(begin + secondCrash)
		if trouble {
			d.rec.add("%s crashes", same[1].registered.id)
			same[1].crash(restartTime, version)
		}
	}
	at(restartRounds*restartPause + time.Second)
	return clients.verdict("restart"), nil
}

// startVersionClients starts three nodes and the clients, and waits until streams may be taken
// up at their version.
func (d *deployment) startVersionClients() (*versionClientele, error) {
	for _, n := range []struct {
		name, zone string
		share      float64
	}{{"n-a1", "a", 0.8}, {"n-a2", "a", 0.4}, {"n-b1", "b", 0.4}} {
		if err := d.addNode(n.name, n.zone, n.share); err != nil {
			return nil, err
		}
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	clients := &versionClientele{d: d, stop: make(chan struct{})}
	for i := range versionClients {
		clients.group.Go(func() {
			clients.run(i)
		})
	}
	time.Sleep(14 * time.Second)
	return clients, nil
}

// engine is a stand-in of a model runner.
type engine struct {
	d          *deployment
	stub       *bystub.Runner
	process    *bystub.Process
	registered *runner
	next       string // version of the next process
}

// startEngine starts a model runner and registers it.
func (d *deployment) startEngine(id, version string) (*engine, error) {
	e := &engine{d: d, next: version, stub: bystub.NewRunner(bystub.RunnerConfig{
		ID: id, Service: "llm", Zone: "a", Version: version, Stage: "decode", Slots: 400, EventsPerStream: streamEvents,
		EventInterval: eventInterval, TellsVersion: true,
	})}
	var err error
	if e.process, err = bystub.StartProcess(e.stub, e.restarted); err != nil {
		return nil, err
	}
	d.processes = append(d.processes, e.process)
	addr := e.process.Addr()
	e.registered = d.addRunner(id, func(state string, seq int) []byte { return e.stub.StoreEntry(addr, state, seq) })
	return e, nil
}

// crash ends the process of a runner. A new one is back after downTime.
func (e *engine) crash(downTime time.Duration, version string) {
	e.next = version
	e.registered.setCut(true) // a runner that has crashed sends nothing
	e.process.Crash(downTime)
}

// restarted is called when the new process serves. It writes its entry at once.
func (e *engine) restarted() {
	e.stub.RestartAs(e.next)
	e.registered.restart()
	e.d.rec.add("%s is back as %s", e.registered.id, e.next)
}

// drain makes a runner leave.
func (r *runner) drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
}

// describe shortens a list of the versions of events.
func describe(versions []string) string {
	var parts []string
	for i := 0; i < len(versions); {
		j := i
		for j < len(versions) && versions[j] == versions[i] {
			j++
		}
		parts = append(parts, fmt.Sprintf("%d events of %s", j-i, versions[i]))
		i = j
	}
	return strings.Join(parts, ", then ")
}

// versionClientele are clients that read resumable streams.
type versionClientele struct {
	d     *deployment
	stop  chan struct{}
	group sync.WaitGroup

	mu                       sync.Mutex
	streams, takenUp, wentOn int
	mixed                    []stream
}

// verdict stops the clients and judges what they got.
func (c *versionClientele) verdict(name string) verdict {
	close(c.stop)
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.mixed {
		c.d.rec.add("stream of two versions: %s; tries: %s", describe(s.versions), strings.Join(s.tries, ", "))
	}
	return verdict{
		broken: len(c.mixed) > 2,
		summary: fmt.Sprintf("%s: %d streams, %d taken up after a break, %d of these got events; streams that hold events of two versions: %d (allowed: 2)",
			name, c.streams, c.takenUp, c.wentOn, len(c.mixed)),
	}
}

// run reads one stream after the other until stop is closed.
func (c *versionClientele) run(number int) {
	dir := &directory{nodes: c.d.nodes, zone: []string{"a", "b"}[number%2], patient: number%10 == 0}
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(rand.N(600 * time.Millisecond)):
		}
		c.read(dir, fmt.Sprintf("s%d-%d", number, i))
	}
}

// read reads one stream, and takes it up after a break, at most twice and within the deadline.
func (c *versionClientele) read(dir *directory, name string) {
	deadline := time.Now().Add(streamDeadline)
	var s stream
	tookUp, wentOn := false, false
	for try := range 3 {
		left := time.Until(deadline)
		n := dir.pick()
		if n == nil || left < 100*time.Millisecond {
			break
		}
		id := fmt.Sprintf("%s-%d", name, try)
		tookUp = tookUp || s.began != ""
		events, status, err := readStream(n, id, &s, left)
		s.tries = append(s.tries, fmt.Sprintf("%s at %s from event %d: status %d, %d events", id, n.name, s.last-events+1, status, events))
		wentOn = wentOn || tookUp && events > 0 && s.began != id
		if err == nil {
			break // whole, or refused
		}
		dir.failed(n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams++
	if tookUp {
		c.takenUp++
	}
	if wentOn {
		c.wentOn++
	}
	for _, v := range s.versions {
		if v != s.versions[0] {
			c.mixed = append(c.mixed, s)
			return
		}
	}
}

// readStream sends one attempt and reads its events. An error means that the connection has
// broken, or that the client gave the attempt up.
func readStream(n *node, id string, s *stream, left time.Duration) (events, status int, err error) {
	conn, err := net.DialTimeout("tcp4", n.addr(callerPort), min(time.Second, left))
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /quick/%s HTTP/1.1\r\nHost: %s\r\nX-Model-Name: m\r\nContent-Length: 1\r\n", id, bystub.Host) + bystub.RequestHeaders(id, left, 1, 92, "", 290)
	if s.began != "" {
		head += fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", s.began, s.last)
	}
	// A client gives an attempt up that is not read after a second or a third of its time.
	if err := conn.SetDeadline(time.Now().Add(min(time.Second, left/3))); err != nil {
		return 0, 0, err
	}
	if _, err := io.WriteString(conn, head+"\r\nq"); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if err := conn.SetDeadline(time.Now().Add(left)); err != nil {
		return 0, resp.StatusCode, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, resp.StatusCode, nil
	}
	lines := bufio.NewScanner(resp.Body)
	number := 0
	for lines.Scan() {
		line := lines.Text()
		if rest, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(rest)
		}
		if _, version, ok := strings.Cut(line, " at "); ok && strings.HasPrefix(line, "data: ") {
			if s.began == "" {
				s.began = id
			}
			events++
			s.last, s.versions = number, append(s.versions, version)
		}
	}
	err = lines.Err()
	if err == nil && s.last < streamEvents {
		err = errors.New("the stream has ended early")
	}
	return events, resp.StatusCode, err
}

// directory is what a client knows of the addresses of nodes.
type directory struct {
	nodes   []*node
	zone    string
	patient bool // whether the client keeps answers for three times as long
	until   time.Time
	known   []*node
	bad     map[*node]bool
}

// pick returns a random node that has not failed this client.
func (dir *directory) pick() *node {
	if time.Now().After(dir.until) {
		dir.resolve()
	}
	var good []*node
	for _, n := range dir.known {
		if !dir.bad[n] {
			good = append(good, n)
		}
	}
	if len(good) == 0 {
		dir.resolve()
		good = dir.known
	}
	if len(good) == 0 {
		return nil
	}
	return good[rand.IntN(len(good))]
}

func (dir *directory) failed(n *node) { dir.bad[n] = true }

// resolve asks the nodes, nearest first, for the addresses to use.
func (dir *directory) resolve() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, near := range []bool{true, false} {
		for _, i := range rand.Perm(len(dir.nodes)) {
			n := dir.nodes[i]
			if (n.zone == dir.zone) != near {
				continue
			}
			q := url.Values{"name": {bystub.Host}, "region": {"r"}, "zone": {dir.zone}}
			resp, err := client.Get("http://" + n.addr(directoryPort) + "/-/resolve?" + q.Encode())
			if err != nil {
				continue
			}
			var answer struct {
				Addresses []string `json:"addresses"`
				TTLS      float64  `json:"ttlS"`
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			resp.Body.Close()
			if err != nil || len(answer.Addresses) == 0 {
				continue
			}
			dir.known, dir.bad = nil, map[*node]bool{}
			for _, n := range dir.nodes {
				for _, addr := range answer.Addresses {
					if addr == n.addr(callerPort) {
						dir.known = append(dir.known, n)
					}
				}
			}
			ttl := time.Duration(min(answer.TTLS, 5) * float64(time.Second))
			if dir.patient {
				ttl *= 3
			}
			dir.until = time.Now().Add(ttl)
			return
		}
	}
}

// versionConfig returns a configuration with one resumable route.
func versionConfig() []byte {
	return []byte(`{"version":1,"routes":[{"name":"quick","host":"` + bystub.Host + `","prefix":"/quick/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,"targetGapMs":150,"priority":0,"service":"llm","attempts":2,"stickySessions":true,"resumable":true}],` +
		`"services":[{"name":"llm","healthPath":"/health","maxConnections":2000,"protocol":"h1","tls":false,"engine":{"slots":400,"kvCapacityTokens":4440000,"kvTokenBytes":131072,"linkMbps":930000.0,"moves":true,"backups":true,"stride":11,"most":12,"handleTtlS":5.0,"stageSwitchS":0,"models":[{"name":"m"}]}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
}
