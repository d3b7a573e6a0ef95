package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockyard/platform/bystub"
)

func init() { cases["deadly"] = playDeadly }

const (
	deadlyPath = "/book/deadly"
	// deadlyPause is the time between two repetitions of the deadly request, and deadlyDown
	// how long a runner is away that it has crashed.
	deadlyPause  = 2500 * time.Millisecond
	deadlyDown   = 2 * time.Second
	deadlyRounds = 16
	// stableWindow is stableWindowMs of the settings.
	stableWindow = 3 * time.Second
)

// playDeadly repeats a request that crashes each runner that begins to run it. In the
// disruption, two of three machines are lost before.
func playDeadly(d *deployment, trouble bool) (verdict, error) {
	d.store.Set("op", "config", memoryConfig())
	type crash struct {
		runner string
		at     time.Time
	}
	var mu sync.Mutex
	var crashes []crash
	isDeadly := func(r *http.Request) bool { return r.URL.Path == deadlyPath }
	var stubs []*bystub.Runner
	for i := range 6 {
		id := fmt.Sprint("app-", i)
		stub := bystub.NewRunner(bystub.RunnerConfig{ID: id, Service: "app", Zone: "a", Slots: 32, ServiceTime: 20 * time.Millisecond})
		var process *bystub.Process
		var registered *runner
		process, err := bystub.StartProcess(stub, func() {
			registered.restart()
			d.rec.add("%s is back", id)
		})
		if err != nil {
			return verdict{}, err
		}
		d.processes = append(d.processes, process)
		registered = d.addRunner(id, func(state string, seq int) []byte { return stub.StoreEntry(process.Addr(), state, seq) })
		stub.CrashOn(isDeadly, func() {
			mu.Lock()
			crashes = append(crashes, crash{id, time.Now()})
			mu.Unlock()
			d.rec.add("%s crashes on the deadly request", id)
			registered.setCut(true) // a runner that has crashed sends nothing
			process.Crash(deadlyDown)
		})
		stubs = append(stubs, stub)
	}
	for i := range 3 {
		if err := d.addNode(fmt.Sprint("n", i), string(rune('a'+i)), 0.4); err != nil {
			return verdict{}, err
		}
	}
	if err := d.waitReady(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			callLoop(d.nodes[0], i, stop)
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, n := range d.nodes[1:] {
			n.signal(syscall.SIGKILL)
			d.rec.add("%s is lost", n.name)
		}
	}
	time.Sleep(2 * stableWindow) // the machine that is left is in touch
	for i := range deadlyRounds {
		id := fmt.Sprint("deadly-", i)
		status, err := callOnce(d.nodes[0], deadlyPath, id)
		d.rec.add("%s: status %d, error %v", id, status, err)
		time.Sleep(deadlyPause)
	}
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return verdict{}, fmt.Errorf("the deadly request has crashed %d runners", len(crashes))
	}
	late := 0
	for _, stub := range stubs {
		for _, a := range stub.ReceivedRequests() {
			if a.Path == deadlyPath && a.At.Sub(crashes[2].at) > stableWindow {
				late++
			}
		}
	}
	return verdict{
		broken: late > 3,
		summary: fmt.Sprintf("deadly: %d repetitions, %d crashes; reached runners later than %v after the third crash: %d (allowed: 3)",
			deadlyRounds, len(crashes), stableWindow, late),
	}, nil
}

// callOnce sends one request with the same body and returns the status of the answer.
func callOnce(n *node, path, id string) (int, error) {
	conn, err := net.DialTimeout("tcp4", n.addr(callerPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(callDeadline)); err != nil {
		return 0, err
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n", path, bystub.Host) + bystub.RequestHeaders(id, callDeadline, 0, 0, "", 0)
	if _, err := io.Copy(conn, strings.NewReader(head+"\r\nbody")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}
