package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdockyard/platform/bystub"
)

func init() { cases["memory"] = playMemory }

const (
	memoryLimit  = 284 << 20 // limits.memoryMb: a process that exceeds it is killed
	bodyBytes    = 4 << 20   // maxBodyBytes of the configuration
	chunkBytes   = 64 << 10
	uploadTime   = 2400 * time.Millisecond // in which a client sends its body
	memoryBursts = 3
	usualUploads = 24 // in progress at a node without a burst
	bookingTime  = 300 * time.Millisecond
)

// memoryNode counts what happens to the process of one node.
type memoryNode struct {
	peak  atomic.Int64
	kills atomic.Int64
}

// playMemory sends uploads in chunks. In the disruption, twice as many users come at once.
func playMemory(d *deployment, trouble bool) (verdict, error) {
	burst := usualUploads
	if trouble {
		burst = 2 * usualUploads
	}
	d.store.Set("op", "config", memoryConfig())
	var stubs []*bystub.Runner
	for i := range 3 {
		stub := bystub.NewRunner(bystub.RunnerConfig{ID: fmt.Sprint("app-", i), Service: "app", Zone: "a", Slots: 64, ServiceTime: bookingTime})
		stubs = append(stubs, stub)
		addr, err := d.serve(stub)
		if err != nil {
			return verdict{}, err
		}
		d.addRunner(fmt.Sprint("app-", i), func(state string, seq int) []byte { return stub.StoreEntry(addr, state, seq) })
	}
	for i := range 3 {
		if err := d.addNode(fmt.Sprint("n", i), string(rune('a'+i)), 0.4); err != nil {
			return verdict{}, err
		}
	}
	if err := d.waitReady(); err != nil {
		return verdict{}, err
	}
	states := make([]*memoryNode, len(d.nodes))
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for i, n := range d.nodes {
		states[i] = &memoryNode{}
		watchers.Go(func() {
			d.watchMemory(n, states[i], stop)
		})
	}
	var answered, refused, lost atomic.Int64
	bookings := &bookingLog{unanswered: map[string]bool{}}
	for _, n := range d.nodes {
		watchers.Go(func() {
			d.book(n, bookings, stop)
		})
	}
	for round := range 1 + memoryBursts {
		users := usualUploads
		if round > 0 {
			users = burst // of twice the usual number of users
		}
		if err := d.waitReady(); err != nil {
			return verdict{}, err
		}
		time.Sleep(3 * time.Second)
		d.rec.add("round %d: %d users at each node send %d bytes each, in chunks", round, users, bodyBytes)
		var group sync.WaitGroup
		for i, n := range d.nodes {
			for u := range users {
				group.Go(func() {
					id := fmt.Sprintf("m%d-%d-%d", round, i, u)
					status, err := upload(n.addr(callerPort), id)
					switch {
					case err != nil:
						lost.Add(1)
						d.rec.add("%s at %s: no answer: %v", id, n.name, err)
					case status == http.StatusOK:
						answered.Add(1)
						d.rec.add("%s at %s: 200", id, n.name)
					default:
						refused.Add(1)
						d.rec.add("%s at %s: %d", id, n.name, status)
					}
				})
			}
		}
		group.Wait()
	}
	close(stop)
	watchers.Wait()
	killedThrice, text := 0, ""
	for i, s := range states {
		if s.kills.Load() >= memoryBursts {
			killedThrice++
		}
		text += fmt.Sprintf(" %s: peak %d MB, ended %d times;", d.nodes[i].name, s.peak.Load()>>20, s.kills.Load())
	}
	return verdict{
		broken: killedThrice >= 2,
		summary: fmt.Sprintf("memory:%s uploads answered %d, refused %d, without an answer %d; bookings %d, run but without an answer %d",
			text, answered.Load(), refused.Load(), lost.Load(), bookings.sent, d.countLost(bookings, stubs)),
	}, nil
}

// bookingLog records the bookings of all clients.
type bookingLog struct {
	mu         sync.Mutex
	sent       int
	unanswered map[string]bool // whose connection ended without an answer
}

// book sends ten bookings a second to a node until stop is closed.
func (d *deployment) book(n *node, log *bookingLog, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		group.Go(func() {
			id := fmt.Sprintf("b-%s-%d", n.name, i)
			conn, err := net.DialTimeout("tcp4", n.addr(callerPort), time.Second)
			if err != nil {
				return // not accepted
			}
			defer conn.Close()
			const deadline = 4 * time.Second
			_ = conn.SetDeadline(time.Now().Add(deadline)) // without it, reading fails later
			head := fmt.Sprintf("POST /book/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 1\r\n", id, bystub.Host) + bystub.RequestHeaders(id, deadline, 0, 0, "", 0)
			_, err = conn.Write([]byte(head + "\r\nx"))
			if err == nil {
				var resp *http.Response
				if resp, err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost}); err == nil {
					resp.Body.Close()
				}
			}
			log.mu.Lock()
			defer log.mu.Unlock()
			log.sent++
			if err != nil {
				log.unanswered[id] = true
			}
		})
	}
}

// countLost returns the number of bookings that a runner has run and that got no answer.
func (d *deployment) countLost(log *bookingLog, stubs []*bystub.Runner) int {
	lost := 0
	for _, s := range stubs {
		for _, run := range s.Runs() {
			if log.unanswered[run.ID] {
				d.rec.add("booking %s has run and got no answer", run.ID)
				lost++
			}
		}
	}
	return lost
}

// watchMemory kills the process of a node once it exceeds its memory, as the platform does,
// and starts it again.
func (d *deployment) watchMemory(n *node, s *memoryNode, stop <-chan struct{}) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		used := residentBytes(n.pid())
		if used > s.peak.Load() {
			s.peak.Store(used)
		}
		if used <= memoryLimit {
			continue
		}
		d.rec.add("%s uses %d MB of 284 and is killed", n.name, used>>20)
		n.signal(syscall.SIGKILL)
		<-n.exited()
		s.kills.Add(1)
		time.Sleep(500 * time.Millisecond)
		if err := d.startNode(n); err != nil {
			d.rec.add("%s could not be started: %v", n.name, err)
			return
		}
	}
}

// residentBytes returns the memory that a process uses, without files that it maps.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// upload sends a request with a body in chunks and returns the status of the answer.
func upload(addr, id string) (int, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	const deadline = 4 * time.Second
	if err := conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return 0, err
	}
	head := fmt.Sprintf("POST /read/%s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n", id, bystub.Host) + bystub.RequestHeaders(id, deadline, 0, 0, "", 0)
	if _, err := conn.Write([]byte(head + "\r\n")); err != nil {
		return 0, err
	}
	chunk := append([]byte(fmt.Sprintf("%x\r\n", chunkBytes)), append(bytes.Repeat([]byte("x"), chunkBytes), "\r\n"...)...)
	pause := uploadTime / (bodyBytes / chunkBytes)
	for range bodyBytes / chunkBytes {
		if _, err := conn.Write(chunk); err != nil {
			break // the node may have answered early
		}
		time.Sleep(pause)
	}
	_, _ = conn.Write([]byte("0\r\n\r\n")) // the answer tells
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// memoryConfig returns the configuration with the limits of the users' example.
func memoryConfig() []byte {
	return []byte(`{"version":1,"routes":[{"name":"read","host":"` + bystub.Host + `","prefix":"/read/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"app","attempts":2,"stickySessions":false,"resumable":false},{"name":"book","host":"` + bystub.Host + `","prefix":"/book/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"app","attempts":1,"stickySessions":false,"resumable":false}],` +
		`"services":[{"name":"app","healthPath":"/health","maxConnections":200,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
}
