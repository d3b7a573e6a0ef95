package byentry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bywitness"
	"burdockyard/io/bylog"
)

const (
	// endProofReuse is how long the proof that an endpoint has ended is used for other
	// attempts at it. When an endpoint ends, all attempts at it break at the same time.
	endProofReuse = 100 * time.Millisecond
	// endProofTimeout limits the time to find out whether an endpoint's process has ended.
	endProofTimeout = 300 * time.Millisecond
	// endProbeTimeout limits the time to open a connection for that. It leaves time for
	// the question to a witness and its answer.
	endProbeTimeout = 200 * time.Millisecond
	// maxWitnesses is the number of peers that are asked.
	maxWitnesses = 2
	// maxOthers is the number of other endpoints to which a node that is refused opens a
	// connection to find out whether its links work.
	maxOthers = 3
	// maxProofs and maxExaminations limit how many endpoints are in question at a time, to
	// this node and to its peers.
	maxProofs       = 64
	maxExaminations = 16
)

// endProof says whether the process of an endpoint has ended.
type endProof struct {
	endpoint  burdockyard.EndpointID
	finding   bywitness.Finding
	own       bywitness.Report // of this node; its finding counts only without peers
	suspected bool             // whether it may have ended although that is not proved
	witnesses string           // which peers have found what, for the log; empty if none was asked
}

// endProofs shares proofs among all that ask for one at the same time. mu is a leaf lock.
type endProofs struct {
	limit int // of tasks at a time
	mu    sync.Mutex
	tasks map[burdockyard.EndpointID]*proofTask
}

// proofTask finds one proof. done is closed once proof is set.
type proofTask struct {
	done    chan struct{}
	proof   endProof
	endedAt time.Time // when the endpoint was found to have ended; zero before
}

func newEndProofs(limit int) *endProofs {
	return &endProofs{limit: limit, tasks: map[burdockyard.EndpointID]*proofTask{}}
}

// get returns the proof for endpoint id. It calls find unless another call does so, or has
// just found that the endpoint has ended. It returns false if there is no proof, because
// ctx ends or too many other endpoints are in question.
func (p *endProofs) get(ctx context.Context, clock burdockyard.Clock, id burdockyard.EndpointID, find func() endProof) (endProof, bool) {
	task, isNew := p.task(clock.Now(), id)
	if task == nil {
		return endProof{}, false
	}
	if !isNew {
		select {
		case <-task.done:
			return task.proof, true
		case <-ctx.Done():
			return endProof{}, false
		}
	}
	task.proof = find()
	close(task.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	if task.proof.finding == bywitness.Ended {
		task.endedAt = clock.Now()
	} else {
		delete(p.tasks, id) // it may end before the next attempt breaks
	}
	return task.proof, true
}

// task returns the task for an endpoint, and whether it is new. It returns nil if there
// are too many.
func (p *endProofs) task(now time.Time, id burdockyard.EndpointID) (task *proofTask, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, t := range p.tasks {
		if !t.endedAt.IsZero() && now.Sub(t.endedAt) >= endProofReuse {
			delete(p.tasks, id)
		}
	}
	if t := p.tasks[id]; t != nil {
		return t, false
	}
	if len(p.tasks) >= p.limit {
		return nil, false
	}
	t := &proofTask{done: make(chan struct{})}
	p.tasks[id] = t
	return t, true
}

// proveEnd finds out whether the process of endpoint e has ended. A node that has peers
// needs one of them as a witness. An endpoint that does not respond counts as alive,
// because the network may be at fault.
func (n *Node) proveEnd(ctx context.Context, e byfleet.Endpoint) endProof {
	proof, ok := n.endProofs.get(ctx, n.clock, e.ID, func() endProof {
		// The proof also serves other requests than the one whose context this is.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endProofTimeout)
		defer cancel()
		own := n.connect(ctx, e)
		if own != bywitness.Refused {
			return endProof{own: n.find(ctx, e, own)}
		}
		var proof endProof
		var findings []bywitness.Finding
		var group errgroup.Group
		group.Go(func() error { proof.own = n.find(ctx, e, own); return nil })
		hasPeers := len(n.peers.members()) > 0
		if hasPeers {
			findings, proof.witnesses = n.askWitnesses(ctx, e)
		}
		_ = group.Wait() // returns no error
		if !hasPeers {
			findings = []bywitness.Finding{proof.own.Finding}
		}
		if bywitness.HasEnded(own, findings) {
			proof.finding = bywitness.Ended
		} else {
			proof.suspected = bywitness.MayHaveEnded(own, findings)
		}
		return proof
	})
	if !ok {
		proof.own = noReport
	}
	proof.endpoint = e.ID
	return proof
}

// logFields returns what the proof rests on as fields of a log line.
func (p endProof) logFields() []bylog.Field {
	return []bylog.Field{bylog.Str("own", p.own.String()), bylog.Str("witnesses", p.witnesses)}
}

// connect opens a new connection to an endpoint and closes it.
func (n *Node) connect(ctx context.Context, e byfleet.Endpoint) bywitness.Connection {
	err := n.forwarder.Probe(ctx, e.Addr, endProbeTimeout)
	switch {
	case err == nil:
		return bywitness.Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return bywitness.Refused
	}
	return bywitness.NoAnswer
}

// find returns what this node by itself finds out about endpoint e, given the result of a
// connection to it.
func (n *Node) find(ctx context.Context, e byfleet.Endpoint, own bywitness.Connection) bywitness.Report {
	if own != bywitness.Refused {
		return bywitness.Report{Finding: bywitness.Find(own, nil), Connection: own}
	}
	others := n.fleet.SampleOthers(e, maxOthers, rand.Shuffle)
	results := make([]bywitness.Connection, len(others))
	var group errgroup.Group
	for i, other := range others {
		group.Go(func() error { results[i] = n.connect(ctx, other); return nil })
	}
	_ = group.Wait() // returns no error
	report := bywitness.Report{Finding: bywitness.Find(own, results), Connection: own}
	for i, other := range others {
		report.Others = append(report.Others, bywitness.Probe{Endpoint: other.ID, Result: results[i]})
	}
	return report
}

// askWitnesses asks peers whether the process of endpoint e has ended. It also returns their
// reports as text for the log.
func (n *Node) askWitnesses(ctx context.Context, e byfleet.Endpoint) (findings []bywitness.Finding, text string) {
	witnesses := bywitness.Select(n.view.ReceivedWithin(unreachableAfter), n.settings.Domain, maxWitnesses, rand.Shuffle)
	if len(witnesses) == 0 {
		return nil, "none was heard of late"
	}
	findings, texts := make([]bywitness.Finding, len(witnesses)), make([]string, len(witnesses))
	var group errgroup.Group
	for i, w := range witnesses {
		group.Go(func() error {
			report, err := n.witnessClient.Examine(ctx, w.Member.Addr, e.Instance)
			findings[i], texts[i] = report.Finding, string(w.Member.Node)+" "+report.String()
			if err != nil {
				texts[i] = string(w.Member.Node) + " no reply"
				n.log.members.Debug("no answer of a witness", bylog.Str("peer", string(w.Member.Node)), bylog.Str("endpoint", string(e.ID)), bylog.Err(err))
			}
			return nil
		})
	}
	_ = group.Wait() // returns no error
	return findings, strings.Join(texts, ", ")
}

// examine answers a peer that asks whether the process of an endpoint has ended.
func (n *Node) examine(ctx context.Context, asked burdockyard.Instance) bywitness.Report {
	e, ok := n.fleet.Lookup(asked.ID)
	if !ok || e.BornMS != asked.BornMS && e.Addr != asked.Addr {
		return noReport // the endpoint has moved, and one of the two nodes has not heard of it
	}
	proof, ok := n.testimonies.get(ctx, n.clock, e.ID, func() endProof {
		ctx := context.WithoutCancel(ctx) // the finding may also answer another peer
		report := n.find(ctx, e, n.connect(ctx, e))
		return endProof{finding: report.Finding, own: report}
	})
	if !ok {
		return noReport
	}
	return proof.own
}

// noReport stands for the report of a node that has not opened a connection.
var noReport = bywitness.Report{Connection: bywitness.NotTold}

// isConnectionLoss reports whether err means that the endpoint's side has closed or reset
// the connection.
func isConnectionLoss(err error) bool {
	for _, loss := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}

// attemptBroke is called when the connection of an attempt at e has broken after the
// request was sent. events is the number of events that the attempt has delivered, and
// begun whether its answer counts as begun.
func (c *call) attemptBroke(ctx context.Context, e byfleet.Endpoint, action string, events int, begun bool, err error) {
	proof := endProof{own: noReport}
	if isConnectionLoss(err) {
		proof = c.node.proveEnd(ctx, e)
		c.lastProof = proof
	}
	ended := proof.finding == bywitness.Ended
	shared, content := c.keys[:len(c.keys)-1], c.keys[len(c.keys)-1:]
	c.warn("attempt broke off", append(proof.logFields(), bylog.Str("endpoint", string(e.ID)), bylog.Str("asked_to", action), bylog.Int("events", events),
		bylog.Bool("ended", ended), bylog.Bool("suspected", proof.suspected), bylog.Str("keys", formatKeys(shared)),
		bylog.Str("content", formatKeys(content)), bylog.Str("caller", c.callerAddr()), bylog.Err(err))...)
	if ended {
		c.node.metrics.BrokenByEnd(c.service.Name).Inc()
	}
	if !begun && (ended || proof.suspected) {
		c.recordEndpointEnd(e, proof)
	}
}

// sharedParts returns the IDs of all parts of a prompt but the last one, which belongs
// to one request or session.
func sharedParts(p *burdockyard.Prompt) []uint64 {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	ids := make([]uint64, 0, len(p.Parts))
	for _, part := range p.Parts[:len(p.Parts)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}
