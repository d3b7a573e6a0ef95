// Command 9 is the case of a prompt part that crashes runners while the nodes are restarted
// in turn.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdockyard/platform/bystub"
	"burdockyard/review/bystage"
)

const (
	decodeRunners   = 8
	eventsPerStream = 11
	eventInterval   = 20 * time.Millisecond
	firstEventTime  = 400 * time.Millisecond // prefill of 17,000 tokens
	requestDeadline = 5 * time.Second
	downTime        = 4 * time.Second
	// Of the prompts, some begin with the part batch and some with the part steady.
	batch, steady = 0xba7c4, 0x57ead
	deadlyPart    = "bad1"
	batchInterval = time.Second / 15
	// Five requests with the deadly part come first, others follow.
	firstDeadly, deadlyPause = 5, 130 * time.Millisecond
	deadlyInterval           = 1500 * time.Millisecond
	stableWindow             = 3 * time.Second
)

func main() { os.Exit(run()) }

// server is a runner that crashes when it begins to write an answer on the deadly part.
type server struct {
	runner   *bystub.Runner
	id, addr string
	stage    *bystage.Stage
	crashes  *atomic.Int64

	mu  sync.Mutex
	srv *http.Server
	seq int
}

// ServeHTTP implements http.Handler.
func (r *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !strings.HasPrefix(req.URL.Path, "/plan/") {
		r.runner.ServeHTTP(w, req)
		return
	}
	r.stage.Logf("%s reaches %s, prompt %s", req.Header.Get("X-Request-Id"), r.id, req.Header.Get("X-Prompt-Prefix"))
	time.Sleep(firstEventTime)
	if strings.Contains(req.Header.Get("X-Prompt-Prefix"), ","+deadlyPart+":") {
		r.crash(req.Header.Get("X-Request-Id"))
		panic(http.ErrAbortHandler)
	}
	r.runner.ServeHTTP(w, req)
}

func (r *server) serve(l net.Listener) {
	srv := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	r.mu.Lock()
	r.srv = srv
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
}

// register writes the runner's entry to the store while the runner is up.
func (r *server) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.srv != nil {
		r.seq++
		r.stage.Store.Set("servers", r.id, r.runner.StoreEntry(r.addr, "ready", r.seq))
	}
}

// close ends the connections and the listener. It returns false if the runner is down.
func (r *server) close() bool {
	r.mu.Lock()
	srv := r.srv
	r.srv = nil
	r.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
	return srv != nil
}

// crash ends the runner, which is back after downTime.
func (r *server) crash(id string) {
	if !r.close() {
		return
	}
	r.crashes.Add(1)
	r.stage.Logf("runner %s crashes on %s", r.id, id)
	time.AfterFunc(downTime, func() {
		l, err := net.Listen("tcp4", r.addr)
		if err != nil {
			r.stage.Logf("runner %s does not start again: %v", r.id, err)
			return
		}
		r.runner.Restart()
		r.serve(l)
		r.register()
	})
}

// share counts requests and those of them that were served.
type share struct{ sent, served atomic.Int64 }

func (c *share) String() string { return fmt.Sprintf("%d of %d", c.served.Load(), c.sent.Load()) }

// part returns the share that was served.
func (c *share) part() float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }

func run() int {
	s, err := bystage.New("review/9")
	if err != nil {
		fmt.Println(err)
		return bystage.CannotRun
	}
	defer s.Close()
	s.Store.Set("op", "config", bystub.EncodeConfig(1, bystub.Route{Name: "plan", Prefix: "/plan/", Kind: "streaming", Service: "llm", Attempts: 1}))
	zones := []string{"ctx-a", "ctx-b", "ctx-c"}
	var crashes atomic.Int64
	for i := range decodeRunners {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			fmt.Println(err)
			return bystage.CannotRun
		}
		cfg := bystub.RunnerConfig{
			ID: fmt.Sprintf("d-%d", i+1), Service: "llm", Zone: zones[i%3], Stage: "decode", Slots: 24, EventsPerStream: eventsPerStream, EventInterval: eventInterval,
		}
		r := &server{runner: bystub.NewRunner(cfg), id: cfg.ID, addr: l.Addr().String(), stage: s, crashes: &crashes}
		r.serve(l)
		r.register()
		s.OnClose(func() { r.close() })
		go func() {
			for range time.Tick(1200 * time.Millisecond) {
				r.register()
			}
		}()
	}
	if err := s.StartNodes(zones...); err != nil {
		fmt.Println(err)
		return bystage.CannotRun
	}
	var clients sync.WaitGroup
	var number atomic.Int64
	send := func(first int, middle string, counts *share) {
		clients.Go(func() { request(s, int(number.Add(1)), first, middle, counts) })
	}
	// every calls f in intervals for some time.
	every := func(interval, length time.Duration, f func()) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
			f()
		}
	}
	var before, after, others, deadly share
	stop := make(chan struct{})
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				send(steady, "", &others)
			}
		}
	})
	s.Logf("prompts that begin with %x", batch)
	every(batchInterval, 5*time.Second, func() { send(batch, "", &before) })
	if err := restartInTurn(s); err != nil {
		fmt.Println(err)
		return bystage.CannotRun
	}
	if bystage.Trouble() {
		s.Logf("prompts with the deadly part")
		for range firstDeadly {
			send(batch, deadlyPart, &deadly)
			time.Sleep(deadlyPause)
		}
	}
	time.Sleep(2 * time.Second)
	fifth := time.Now()
	if err := restartInTurn(s); err != nil {
		fmt.Println(err)
		return bystage.CannotRun
	}
	time.Sleep(max(stableWindow, 2*stableWindow-time.Since(fifth)))
	s.Logf("prompts that begin with %x, after %d crashes", batch, crashes.Load())
	clients.Go(func() {
		if bystage.Trouble() {
			every(deadlyInterval, 12*time.Second, func() { send(batch, deadlyPart, &deadly) })
		}
	})
	every(batchInterval, 12*time.Second, func() { send(batch, "", &after) })
	close(stop)
	clients.Wait()
	if before.part() < 0.9 || before.sent.Load() < 20 || after.sent.Load() < 20 {
		fmt.Printf("before the disruption, only %s were served\n", &before)
		return bystage.CannotRun
	}
	return s.Verdict(after.part() < before.part()/2, "%d crashes; while deadly prompts still come, %s sound prompts with the same first part are served at the first attempt, before %s; with another first part %s, deadly %s",
		crashes.Load(), &after, &before, &others, &deadly)
}

// restartInTurn stops and starts the nodes, one after the other, as planned work.
func restartInTurn(s *bystage.Stage) error {
	for _, n := range s.Nodes {
		s.Logf("node %s gets SIGTERM", n.Name)
		n.Signal(syscall.SIGTERM)
		select {
		case <-n.Exited():
		case <-time.After(8 * time.Second): // graceS
			n.Kill()
		}
		if err := n.Start(false); err != nil {
			return err
		}
		if err := n.WaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// request sends one request for a stream, to a node that is ready.
func request(s *bystage.Stage, number, first int, middle string, counts *share) {
	n := s.Nodes[number%len(s.Nodes)]
	for try := 0; !n.IsReady() && try < len(s.Nodes); try++ {
		n = s.Nodes[(number+try)%len(s.Nodes)]
	}
	id := fmt.Sprintf("plan-%05d", number)
	parts := fmt.Sprintf("%x:13300", first)
	if middle != "" {
		parts += "," + middle + ":40"
	}
	h := http.Header{}
	h.Set("X-Model-Name", "m")
	h.Set("X-Token-Usage", "17020,40")
	h.Set("X-Prompt-Prefix", fmt.Sprintf("%s,%x:3680", parts, 0x1000000+number))
	counts.sent.Add(1)
	a := n.Send(bystage.Request{ID: id, Method: http.MethodPost, Path: "/plan/1", Body: "a yard of 40 by 60 feet", Header: h, Deadline: requestDeadline})
	if a.Status == http.StatusOK && a.Complete {
		counts.served.Add(1)
	}
	s.Logf("answer %s by %s: first part %x deadly %v status %d complete %v retry after %q %q %s", id, n.Name, first, middle != "", a.Status, a.Complete,
		a.Header.Get("Retry-After"), strings.TrimSpace(a.Body[:min(len(a.Body), 24)]), a.ErrText())
}
