// Package bycommit joins transactions that are committed at the same time into
// one, so that a burst of bookings costs the table few writes.
//
// # Usage
//
//	table = bycommit.New(table)   // a burdockyard.Table like the one below it
//	err := table.Commit(ctx, txn) // as before, for each transaction
//
// One transaction at a time is on its way. Those that come meanwhile wait and go
// together next, so that nothing waits when there is no burst. Each caller gets
// the outcome of its own transaction: joined ones that conflict are split until
// the conflicting ones stand alone.
package bycommit

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"burdockyard"
)

const (
	// maxBatchSize bounds the transactions that go together.
	maxBatchSize = 256
	// commitTimeout bounds one commit, which outlives the caller that sends it.
	commitTimeout = 5 * time.Second
)

// queuedTxn is a transaction that waits for its outcome.
type queuedTxn struct {
	txn      burdockyard.Txn
	done     chan error    // gets the outcome
	promoted chan struct{} // closed when this one's caller is to send the next batch
}

// Table joins the commits of one process. mu is a leaf lock.
type Table struct {
	burdockyard.Table

	mu      sync.Mutex
	sending bool
	queue   []*queuedTxn
}

// New returns a Table that commits through another.
func New(table burdockyard.Table) *Table { return &Table{Table: table} }

// Commit implements burdockyard.Table. A caller that gives up before its
// transaction was sent gets ErrUnavailable: nothing was written.
func (t *Table) Commit(ctx context.Context, txn burdockyard.Txn) error {
	p := &queuedTxn{txn: txn, done: make(chan error, 1), promoted: make(chan struct{})}
	if t.enqueue(p) {
		t.sendBatch(ctx)
	}
	for {
		select {
		case err := <-p.done:
			return err
		case <-p.promoted:
			p.promoted = nil
			t.sendBatch(ctx)
		case <-ctx.Done():
			if t.dequeue(p) {
				return errors.Join(burdockyard.ErrUnavailable, ctx.Err())
			}
			return t.leave(ctx, p)
		}
	}
}

// enqueue reports whether the caller is to send the next batch.
func (t *Table) enqueue(p *queuedTxn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue = append(t.queue, p)
	isSender := !t.sending
	t.sending = true
	return isSender
}

// dequeue takes a transaction back that was not sent yet, unless its caller is
// to send the next batch.
func (t *Table) dequeue(p *queuedTxn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.queue, p)
	if i < 0 || isClosed(p.promoted) {
		return false
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return true
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// leave ends a caller that gave up on a transaction which is being sent. If it
// is to send the next batch, the others must not wait for it.
func (t *Table) leave(ctx context.Context, p *queuedTxn) error {
	if p.promoted != nil && isClosed(p.promoted) {
		t.sendBatch(ctx)
		return <-p.done
	}
	return ctx.Err()
}

// sendBatch commits the waiting transactions and names who sends the next ones.
func (t *Table) sendBatch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	t.commitBatch(ctx, t.takeBatch())
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queue) == 0 {
		t.sending = false
		return
	}
	close(t.queue[0].promoted)
}

// takeBatch returns the first transactions that touch no row twice. The others stay
// in line: two of them in one transaction would not see each other's writes.
func (t *Table) takeBatch() []*queuedTxn {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[string]bool{}
	var batch, rest []*queuedTxn
	for _, p := range t.queue {
		if len(batch) < maxBatchSize && addIfDisjoint(touched, p.txn) {
			batch = append(batch, p)
		} else {
			rest = append(rest, p)
		}
	}
	t.queue = rest
	return batch
}

// addIfDisjoint adds a transaction's rows; false, and nothing added, if one is there
// already.
func addIfDisjoint(touched map[string]bool, txn burdockyard.Txn) bool {
	keys := map[string]bool{}
	for _, c := range txn.Checks {
		keys[c.Key] = true
	}
	for _, w := range txn.Writes {
		keys[w.Key] = true
	}
	for k := range keys {
		if touched[k] {
			return false
		}
	}
	for k := range keys {
		touched[k] = true
	}
	return true
}

// commitBatch commits a batch as one, and in halves if it conflicts.
func (t *Table) commitBatch(ctx context.Context, batch []*queuedTxn) {
	if len(batch) == 0 {
		return
	}
	var merged burdockyard.Txn
	for _, p := range batch {
		merged.Checks = append(merged.Checks, p.txn.Checks...)
		merged.Writes = append(merged.Writes, p.txn.Writes...)
	}
	err := t.Table.Commit(ctx, merged)
	if errors.Is(err, burdockyard.ErrConflict) && len(batch) > 1 {
		t.commitBatch(ctx, batch[:len(batch)/2])
		t.commitBatch(ctx, batch[len(batch)/2:])
		return
	}
	for _, p := range batch {
		p.done <- err
	}
}
