// Package bycommit merges concurrent transactions into one commit (group
// commit), so that a burst of bookings needs few writes to the table.
//
// # Usage
//
//	table = bycommit.New(table)   // wraps a burdockyard.Table
//	err := table.Commit(ctx, txn) // once per transaction, as without bycommit
//
// One commit runs at a time. Transactions that arrive meanwhile are queued and
// form the next batch, so without a burst no transaction is delayed. Each caller
// gets the outcome of its own transaction: a batch that conflicts is split in
// halves until the conflicting transactions are committed alone.
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
	// maxBatchSize is the largest number of transactions in one batch.
	maxBatchSize = 256
	// commitTimeout is the timeout for committing one batch. The commit continues
	// if the caller that sends it gives up, since other callers wait for it.
	commitTimeout = 5 * time.Second
)

// queuedTxn is a transaction whose caller waits for the outcome.
type queuedTxn struct {
	txn      burdockyard.Txn
	done     chan error    // receives the outcome
	promoted chan struct{} // closed when the caller of this transaction must send the next batch
}

// Table merges the commits of one process. Its methods are safe for concurrent
// use. No other lock is taken while mu is held.
type Table struct {
	burdockyard.Table

	mu      sync.Mutex
	sending bool // a caller is sending a batch or was asked to send the next one
	queue   []*queuedTxn
}

// New returns a Table that commits through the given table.
func New(table burdockyard.Table) *Table { return &Table{Table: table} }

// Commit implements burdockyard.Table. If ctx ends before the transaction is
// sent, nothing is written and the error is ErrUnavailable. If ctx ends later,
// the outcome may be unknown.
func (t *Table) Commit(ctx context.Context, txn burdockyard.Txn) error {
	q := &queuedTxn{txn: txn, done: make(chan error, 1), promoted: make(chan struct{})}
	if t.enqueue(q) {
		t.sendBatch(ctx)
	}
	for {
		select {
		case err := <-q.done:
			return err
		case <-q.promoted:
			q.promoted = nil
			t.sendBatch(ctx)
		case <-ctx.Done():
			if t.dequeue(q) {
				return errors.Join(burdockyard.ErrUnavailable, ctx.Err())
			}
			return t.resultAfterCancel(ctx, q)
		}
	}
}

// enqueue adds a transaction to the queue and reports whether its caller must
// send the next batch.
func (t *Table) enqueue(q *queuedTxn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue = append(t.queue, q)
	isSender := !t.sending
	t.sending = true
	return isSender
}

// dequeue removes a transaction from the queue and reports whether it did. It
// keeps a transaction whose caller must send the next batch.
func (t *Table) dequeue(q *queuedTxn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.queue, q)
	if i < 0 || isClosed(q.promoted) {
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

// resultAfterCancel returns the result for a caller whose ctx ended and whose
// transaction could not be dequeued. If that caller must send the next batch, it
// still does, since the other callers wait for it.
func (t *Table) resultAfterCancel(ctx context.Context, q *queuedTxn) error {
	if q.promoted != nil && isClosed(q.promoted) {
		t.sendBatch(ctx)
		return <-q.done
	}
	return ctx.Err()
}

// sendBatch commits one batch from the queue, then selects the caller that sends
// the next one.
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

// takeBatch removes the next batch from the queue, in order of arrival. It leaves
// transactions that share a row with the batch in the queue: within one commit
// they would not see each other's writes.
func (t *Table) takeBatch() []*queuedTxn {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[string]bool{}
	var batch, rest []*queuedTxn
	for _, q := range t.queue {
		if len(batch) < maxBatchSize && addIfDisjoint(touched, q.txn) {
			batch = append(batch, q)
		} else {
			rest = append(rest, q)
		}
	}
	t.queue = rest
	return batch
}

// addIfDisjoint adds the keys of a transaction to touched and reports true. If
// one of them is in touched already, it adds none and reports false.
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

// commitBatch commits a batch as one transaction, or in halves if that conflicts.
func (t *Table) commitBatch(ctx context.Context, batch []*queuedTxn) {
	if len(batch) == 0 {
		return
	}
	var merged burdockyard.Txn
	for _, q := range batch {
		merged.Checks = append(merged.Checks, q.txn.Checks...)
		merged.Writes = append(merged.Writes, q.txn.Writes...)
	}
	err := t.Table.Commit(ctx, merged)
	if errors.Is(err, burdockyard.ErrConflict) && len(batch) > 1 {
		t.commitBatch(ctx, batch[:len(batch)/2])
		t.commitBatch(ctx, batch[len(batch)/2:])
		return
	}
	for _, q := range batch {
		q.done <- err
	}
}
