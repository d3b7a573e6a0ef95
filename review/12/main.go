// Command 12 shows whether streams go on at a runner that has crashed and is back under its ID
// with another version of its software.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"

	"burdockyard/platform/bystub"
	"burdockyard/review/byrig"
)

// Times and sizes of the case.
const (
	clients        = 100
	eventsInStream = 17
	eventInterval  = 100 * time.Millisecond
	deadline       = 8 * time.Second
	startPause     = 95 * time.Millisecond // between two nodes, so that not all of them read the store at one time
	settle         = 18 * time.Second      // until the nodes agree on the versions
	crashAfter     = 4 * time.Second       // of traffic
	downTime       = 300 * time.Millisecond
	trafficTime    = 8 * time.Second
	// A client takes a broken stream up once, after a pause between these.
	minPause = 300 * time.Millisecond
	maxPause = 900 * time.Millisecond
)

func config() []byte {
	type object = map[string]any
	data, err := json.Marshal(object{
		"version": 10,
		"routes": []object{{
			"name": "dossier-review", "host": bystub.Host, "prefix": "/dossier/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 1500,
			"targetGapMs": 200, "attempts": 2, "service": "llm", "stickySessions": true, "resumable": true,
		}},
		"services": []object{{"name": "llm", "maxConnections": 640, "engine": object{"slots": 16, "kvCapacityTokens": 336090, "kvTokenBytes": 35136, "linkMbps": 740000}}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return data
}

// event matches one whole event of a stand-in that tells its version.
var event = regexp.MustCompile(`id: (\d+)\ndata: piece \d+ of \S+ at (v\d+)\n\n`)

// stream is a stream over all tries of its client.
type stream struct {
	id       string
	last     int
	versions []string // of its events, each change once
	takenUp  bool
}

// add adds the events of an answer.
func (s *stream) add(body []byte) {
	for _, m := range event.FindAllSubmatch(body, -1) {
		s.last, _ = strconv.Atoi(string(m[1])) // digits only
		if v := string(m[2]); len(s.versions) == 0 || s.versions[len(s.versions)-1] != v {
			s.versions = append(s.versions, v)
		}
	}
}

// play sends a stream, and takes it up once if it is broken off.
func (s *stream) play(rig *byrig.Rig, nodes []*byrig.Node, rng *rand.Rand) {
	end := time.Now().Add(deadline)
	q := byrig.Request{
		ID: s.id, Method: "POST", Host: bystub.Host, Path: "/dossier/1", Deadline: deadline, Body: []byte("{}"),
		Header: map[string]string{"X-Model-Name": "m", "X-Token-Usage": "380,17", "X-Prompt-Prefix": fmt.Sprintf("aa:80,%x:300", rng.Uint32())},
	}
	s.add(rig.Send(nodes[rng.IntN(len(nodes))], q).Body)
	if s.last == 0 || s.last >= eventsInStream {
		return
	}
	time.Sleep(minPause + rand.N(maxPause-minPause))
	s.takenUp = true
	q.ID, q.Deadline = s.id+"-again", time.Until(end)
	q.Header["Resumes"], q.Header["Last-Event-Id"] = s.id, strconv.Itoa(s.last)
	s.add(rig.Send(nodes[rng.IntN(len(nodes))], q).Body)
}

func main() { os.Exit(run()) }

func run() int {
	rig, err := byrig.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return byrig.ExitCouldNot
	}
	defer rig.Close()
	broken, text, err := play(rig)
	return rig.Exit(broken, text, err)
}

func play(rig *byrig.Rig) (broken bool, text string, err error) {
	var last *byrig.Runner
	for i, version := range []string{"v2", "v2", "v2", "v2", "v2", "v1"} {
		last, err = rig.AddRunner(bystub.RunnerConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "llm", Zone: "a", Stage: "decode", Version: version, Slots: 16, EventsPerStream: eventsInStream, EventInterval: eventInterval, TellsVersion: true,
		})
		if err != nil {
			return false, "", err
		}
	}
	rig.Store.Set("op", "config", config())
	var nodes []*byrig.Node
	for i, zone := range []string{"a", "a", "b", "b", "c", "c", "d", "d"} {
		n, err := rig.StartNode(fmt.Sprintf("n%d", i+1), zone, nil)
		if err != nil {
			return false, "", err
		}
		nodes = append(nodes, n)
		time.Sleep(startPause)
	}
	if err := rig.WaitReady(15*time.Second, nodes...); err != nil {
		return false, "", err
	}
	time.Sleep(settle)

	var mu sync.Mutex
	var streams []*stream
	var work sync.WaitGroup
	startedAt := time.Now()
	for c := range clients {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c), 12))
			for i := 0; time.Since(startedAt) < trafficTime; i++ {
				s := &stream{id: fmt.Sprintf("c%d-%d", c, i)}
				s.play(rig, nodes, rng)
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
			}
		})
	}
	if byrig.HasTrouble() {
		time.Sleep(crashAfter)
		last.Crash()
		time.Sleep(downTime)
		if err := last.StartAgain("v2"); err != nil {
			return false, "", err
		}
	}
	work.Wait()
	whole, takenUp, mixed := 0, 0, 0
	for _, s := range streams {
		if s.last >= eventsInStream {
			whole++
		}
		if s.takenUp {
			takenUp++
		}
		if len(s.versions) > 1 {
			mixed++
			rig.Logf("stream %s holds events of %v", s.id, s.versions)
		}
	}
	if whole == 0 {
		return false, "", fmt.Errorf("%w: no stream is whole", byrig.ErrNotRun)
	}
	return mixed > 2, fmt.Sprintf("%d of %d streams hold events of two versions; %d whole, %d taken up", mixed, len(streams), whole, takenUp), nil
}
