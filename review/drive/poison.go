package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"burdockyard/platform/bystub"
)

func init() { cases["poison"] = playPoison }

const (
	poisonedPart = "bad00"
	// poisonPause is the time between two requests with the poisoned part.
	poisonPause = 4 * time.Second
	// poisonBefore and poisonAfter are the numbers of such requests before and after the kill.
	poisonBefore = 4
	poisonAfter  = 5
	poisonDown   = 2 * time.Second
	soundClients = 12
)

// playPoison sends requests with a part that crashes runners. In the disruption, all nodes are
// killed after the part is known to do so, and start again.
func playPoison(d *deployment, trouble bool) (verdict, error) {
	d.store.Set("op", "config", versionConfig())
	var mu sync.Mutex
	var crashes []time.Time
	var engines []*engine
	for i := range 8 {
		e, err := d.startEngine(fmt.Sprint("e-", i), "v1")
		if err != nil {
			return verdict{}, err
		}
		e.stub.CrashOn(bystub.HasPromptPart(poisonedPart), func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			d.rec.add("%s crashes on the poisoned part", e.registered.id)
			e.crash(poisonDown, "v1")
		})
		engines = append(engines, e)
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
	for i := range soundClients {
		group.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(500 * time.Millisecond)):
				}
				_, _ = sendPrompt(d.nodes[rand.IntN(len(d.nodes))], fmt.Sprintf("sound-%d-%d", i, j), "", 290) // only to have work in progress
			}
		})
	}
	time.Sleep(12 * time.Second) // until streams are no longer held
	sent := 0
	poison := func(count int) {
		for range count {
			sent++
			id := fmt.Sprint("poison-", sent)
			n := d.nodes[rand.IntN(len(d.nodes))]
			status, err := sendPrompt(n, id, poisonedPart, 290+sent)
			d.rec.add("%s at %s: status %d, error %v", id, n.name, status, err)
			time.Sleep(poisonPause)
		}
	}
	poison(poisonBefore)
	inTouch := time.Now()
	if trouble {
		for _, n := range d.nodes {
			n.signal(syscall.SIGKILL)
		}
		d.rec.add("all nodes are killed")
		for _, n := range d.nodes {
			<-n.exited()
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range d.nodes {
			if err := d.startNode(n); err != nil {
				return verdict{}, err
			}
		}
		d.rec.add("all nodes start again")
		if err := d.waitReady(); err != nil {
			return verdict{}, err
		}
		time.Sleep(stableWindow)
		inTouch = time.Now()
	}
	poison(poisonAfter)
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 5 {
		return verdict{}, fmt.Errorf("the part has crashed %d runners", len(crashes))
	}
	late := 0
	for _, e := range engines {
		for _, a := range e.stub.ReceivedRequests() {
			if a.HasPart(poisonedPart) && a.At.Sub(crashes[4]) > stableWindow && a.At.After(inTouch) {
				late++
				d.rec.add("%s reaches %s, %.3f s after the fifth crash", a.ID, e.registered.id, a.At.Sub(crashes[4]).Seconds())
			}
		}
	}
	return verdict{
		broken: late > 3,
		summary: fmt.Sprintf("poison: %d requests with the part, %d crashes; reached runners later than %v after the fifth crash, from nodes in touch: %d (allowed: 3)",
			sent, len(crashes), stableWindow, late),
	}, nil
}

// sendPrompt sends a request with a prompt and returns the status of the answer, once that is
// complete.
func sendPrompt(n *node, id, part string, ownTokens int) (int, error) {
	conn, err := net.DialTimeout("tcp4", n.addr(callerPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(streamDeadline)); err != nil {
		return 0, err
	}
	head := fmt.Sprintf("POST /quick/%s HTTP/1.1\r\nHost: %s\r\nX-Model-Name: m\r\nContent-Length: 1\r\n", id, bystub.Host) + bystub.RequestHeaders(id, streamDeadline, 1, 92, part, ownTokens)
	if _, err := io.WriteString(conn, head+"\r\nq"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
