package bysoak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/platform/bystub"
)

const (
	// endlessService is the service of the runners that send bytes without end, and
	// endlessRunners their number.
	endlessService = "endless"
	endlessRunners = 60
	// endlessCallers is the number of requests to these runners in progress at all nodes.
	endlessCallers = 600
	// endlessDeadline is the deadline of these requests, in which a node must have ended them.
	endlessDeadline = 2 * time.Second
	endlessSlack    = 500 * time.Millisecond
	minEndlessShare = 0.9 // of them that end in time, as the machine is busy with all of them
	// endlessMemoryMB is the memory of the nodes' VMs, in MiB: that of the smallest ones that
	// deployments in force have.
	endlessMemoryMB = 160
)

// runEndless makes callers send requests to runners that answer by bytes without end, beside
// the sound ones, until the end of the fault period. It checks that no such answer passes as
// complete, and that no node ends or exceeds its memory.
func (s *soak) runEndless(ctx context.Context) error {
	for i := range endlessRunners {
		if err := s.startEndlessRunner(ctx, fmt.Sprint("endless-", i+1)); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.FaultPeriod)
	defer cancel()
	startedAt := time.Now()
	var callers errgroup.Group
	for i := range endlessCallers {
		rng := rand.New(rand.NewPCG(s.cfg.Seed, uint64(10_000+i)))
		n := s.nodes[i%len(s.nodes)]
		callers.Go(func() error {
			for number := 0; ctx.Err() == nil; number++ {
				// All runners send the same form at a time, which a node must bear too.
				part := float64(time.Since(startedAt)) / float64(s.cfg.FaultPeriod) * float64(len(bystub.EndlessForms))
				form := bystub.EndlessForms[min(int(part), len(bystub.EndlessForms)-1)]
				s.sendEndless(ctx, n, fmt.Sprintf("e%d-%d", i, number), form, rng)
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return err
	}
	for _, n := range s.nodes {
		s.checkMemory(n)
	}
	if float64(s.endless.Part) < minEndlessShare*float64(s.endless.All) {
		s.history.addViolation("endless: %v requests end within %v after their deadline", s.endless, endlessSlack)
	}
	return nil
}

// startEndlessRunner starts a runner that sends bytes without end.
func (s *soak) startEndlessRunner(ctx context.Context, id string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return bystub.ServeEndless(l) })
	context.AfterFunc(ctx, func() { l.Close() })
	stub := bystub.NewRunner(bystub.RunnerConfig{ID: id, Service: endlessService, Zone: "a", Slots: 16})
	group.Go(func() error {
		for seq := 1; ctx.Err() == nil; seq++ {
			s.store.Set("servers", id, stub.StoreEntry(l.Addr().String(), "ready", seq))
			sleep(ctx, time.Second)
		}
		return nil
	})
	return nil
}

// sendEndless sends a request to a runner that sends bytes without end, and reads the response
// until it ends.
func (s *soak) sendEndless(ctx context.Context, n *node, id, form string, rng *rand.Rand) {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp4", n.callerAddr)
	if err != nil {
		sleep(ctx, 100*time.Millisecond)
		return
	}
	defer conn.Close()
	route := []string{"endless", "endless", "endless-once", "endless-stream"}[rng.IntN(4)]
	r := record{id: id, method: "POST", path: fmt.Sprintf("/%s/%s/%s", route, form, id), body: "yard", deadline: time.Now().Add(endlessDeadline)}
	if route == "endless" {
		r.method, r.body = "GET", ""
	}
	sentAt := time.Now()
	sendRequest(patientConn{conn}, bufio.NewReader(conn), &r)
	took := time.Since(sentAt)
	s.mu.Lock()
	s.endless.All++
	if took < endlessDeadline+endlessSlack {
		s.endless.Part++
	}
	s.mu.Unlock()
	if r.status == 200 && r.complete {
		s.history.addViolation("endless: %s at %s passes as complete after %v", r.path, n.name, took)
	}
}

// patientConn waits for longer than the deadline that the caller names.
type patientConn struct{ net.Conn }

// SetDeadline implements net.Conn.
func (c patientConn) SetDeadline(t time.Time) error {
	return c.Conn.SetDeadline(t.Add(2 * endlessSlack))
}

// checkMemory checks that the process of a node still runs, and the most memory that it has had,
// as the kernel counts it.
func (s *soak) checkMemory(n *node) {
	if isClosed(n.exited()) {
		s.history.addViolation("endless: the process of %s has ended", n.name)
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		s.history.addViolation("endless: memory of %s is not known: %v", n.name, err)
		return
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		if err != nil || kb > endlessMemoryMB<<10 {
			s.history.addViolation("endless: %s has had %s of memory, %d kB are allowed (%v)", n.name, strings.TrimSpace(value), endlessMemoryMB<<10, err)
		}
		s.peakMemoryKB = max(s.peakMemoryKB, kb)
	}
}
