// Package byduty lets one node at a time do the duties towards the platform. The node that
// holds them may call the platform under its fencing number.
//
// # Usage
//
//	k := byduty.New(table, clock, "platform", self, byduty.WithTTL(3*time.Second))
//	wait, err := k.TryAcquire(ctx)       // without a holder: call again after wait
//	err = k.Commit(ctx, writes)          // renews the lease; at least once in each TTL
//	if a, left, ok := k.Authority(); ok { … call the platform under a, within left … }
//
// # Rows
//
// The row duties/<name> names the holder and its fencing number. It changes when the holder
// changes, and after a write of the holder that got no answer. The row duties/<name>-lease
// changes with each renewal. Each write of the holder checks the version of the first row,
// so that no write of a former holder, and none that is executed late, takes effect.
//
// The leases of core/bylease count the versions of each row by one and know no eras. The
// platform's store has one counter for all rows, and a commit does not tell the new version.
//
// # Order of holders
//
// A holder acts until one TTL after it asked for the last renewal. Another node takes over
// once it has seen both rows unchanged for the TTL and a margin, on its own clock. So all
// acts of a holder come before those of the next one, and a node that loses the duties and
// gets them back has not acted for longer than the TTL in between. Nothing shortens the
// wait, neither a planned stop nor a restart of the holder.
//
// # Eras of the store
//
// A store that is restored from an older copy may lose a change of the holder. The era is
// part of the fencing number, and nobody holds the duties for twice the TTL after the
// change was seen: the holder of a lost row may not know of its loss yet.
package byduty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

const (
	// DefaultTTL is the default time for which a renewal extends the authority of the
	// holder, counted from just before the renewal is sent.
	DefaultTTL = 3 * time.Second
	// marginFraction is the part of the TTL for which another node waits beyond the TTL.
	marginFraction = 3
	// renewalsPerTTL is how often the lease is renewed in each TTL.
	renewalsPerTTL = 2.5
	// maxRowBytes bounds the size of a row. A larger one comes from another writer.
	maxRowBytes = 4 << 10
)

// eraBits is the number of low bits of a fencing number that count the holders of one era.
// The era is in the bits above.
const eraBits = 20

// ErrNotHeld means that this node does not hold the duties, or has just lost them.
var ErrNotHeld = merry.Sentinel("this node does not hold the duties")

// holderRow is the value of duties/<name>.
type holderRow struct {
	Holder      burdockyard.NodeID      `json:"holder"`
	Incarnation burdockyard.Incarnation `json:"incarnation"`
	Fence       uint64                  `json:"fence"`
	Epoch       uint64                  `json:"epoch,omitempty"` // rises after a write without an answer
}

// decodeHolder decodes the row duties/<name>. Other writers have access to it.
func decodeHolder(row burdockyard.Row) (holderRow, error) {
	var r holderRow
	if !row.Exists() {
		return r, nil
	}
	if len(row.Value) > maxRowBytes {
		return r, fmt.Errorf("row %s: %d bytes; expected at most %d", row.Key, len(row.Value), maxRowBytes)
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, merry.Prepend(err, "row "+row.Key)
	}
	return r, nil
}

func (r holderRow) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: strings and numbers always encode
	}
	return b
}

// observation is what a node that does not hold the duties has seen of the two rows.
type observation struct {
	holder, lease, era uint64 // versions of the rows, and their era
	since              time.Time
}

// Keeper holds the duties or waits to acquire them. It is safe for concurrent use.
//
// tableLock is a channel used as a lock. It is held during calls to the table. mu guards the
// fields below it; it is acquired after tableLock and never held during I/O.
type Keeper struct {
	table     burdockyard.Table
	clock     burdockyard.Clock
	name      string
	self      burdockyard.Member
	ttl       time.Duration
	tableLock chan struct{}

	mu         sync.Mutex
	held       bool // whether the row names this process; its authority ends at validUntil
	row        holderRow
	version    uint64    // of the row
	unresolved bool      // whether a write got no answer and may still be executed
	renewals   uint64    // makes the values of the lease row differ
	renewedAt  time.Time // when the last successful renewal was requested
	validUntil time.Time
	seen       observation
	era        uint64
	eraKnown   bool
	notBefore  time.Time // after a change of the era: when the duties may be acquired again
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithTTL sets the time for which a renewal extends the authority of the holder.
func WithTTL(d time.Duration) Option { return func(k *Keeper) { k.ttl = d } }

// New returns a Keeper that does not hold the duties yet.
func New(table burdockyard.Table, clock burdockyard.Clock, name string, self burdockyard.Member, opts ...Option) *Keeper {
	k := &Keeper{table: table, clock: clock, name: name, self: self, ttl: DefaultTTL, tableLock: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

func (k *Keeper) holderKey() string { return "duties/" + k.name }
func (k *Keeper) leaseKey() string  { return "duties/" + k.name + "-lease" }

// takeoverWait is how long the rows must be seen unchanged before another node takes over.
func (k *Keeper) takeoverWait() time.Duration { return k.ttl + k.ttl/marginFraction }

// now returns the time, including a suspension of the VM that has just ended.
func (k *Keeper) now() time.Time {
	if c, ok := k.clock.(burdockyard.SyncClock); ok {
		c.Sync()
	}
	return k.clock.Now()
}

// Authority returns the authority of this node and how long it lasts, and false if it has
// none. It does no I/O. Callers check it right before each call to the platform.
func (k *Keeper) Authority() (burdockyard.Authority, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	left := k.validUntil.Sub(k.now())
	if !k.held || left <= 0 {
		return burdockyard.Authority{}, 0, false
	}
	return burdockyard.Authority{Holder: k.self.Node, Fence: k.row.Fence}, left, true
}

// IsRenewalDue reports whether this node holds the duties and should renew its lease.
func (k *Keeper) IsRenewalDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held && k.now().Sub(k.renewedAt) >= time.Duration(float64(k.ttl)/renewalsPerTTL)
}

// IsHolder reports whether the row named this process when it was last seen. The
// authority of this process may have ended nevertheless.
func (k *Keeper) IsHolder() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}

// Era returns the era of the store that this node has seen last, and false if it has seen
// none.
func (k *Keeper) Era() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era, k.eraKnown
}

// HasSeenRestore reports whether this process has seen that the store was restored.
func (k *Keeper) HasSeenRestore() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.notBefore.IsZero()
}

// Abandon gives up the duties without a write. Another node takes them over after the
// usual wait.
func (k *Keeper) Abandon() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop()
}

// drop forgets that this node holds the duties. mu must be held.
func (k *Keeper) drop() {
	k.held, k.unresolved, k.validUntil, k.seen = false, false, time.Time{}, observation{}
}

// ObserveEra records that this node has seen an era of the store. It reports whether it has
// seen an older one before, which ends its authority.
func (k *Keeper) ObserveEra(era uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.observeEra(era)
}

func (k *Keeper) observeEra(era uint64) bool {
	changed := k.eraKnown && era != k.era
	k.era, k.eraKnown = era, true
	if changed {
		k.drop()
		k.notBefore = k.now().Add(2 * k.ttl)
	}
	return changed
}

// read reads both rows.
func (k *Keeper) read(ctx context.Context) (rows []burdockyard.Row, holder holderRow, err error) {
	if rows, err = k.table.Get(ctx, k.holderKey(), k.leaseKey()); err != nil {
		return nil, holder, err
	}
	if rows[0].Era != rows[1].Era {
		return nil, holder, merry.Wrap(burdockyard.ErrEraChanged)
	}
	holder, err = decodeHolder(rows[0])
	return rows, holder, err
}

// TryAcquire takes the duties over if no node has renewed them for long enough. Otherwise it
// returns the time after which it can be called again.
func (k *Keeper) TryAcquire(ctx context.Context) (time.Duration, error) {
	k.tableLock <- struct{}{}
	defer func() { <-k.tableLock }()
	rows, holder, err := k.read(ctx)
	if err != nil {
		return 0, err
	}
	if wait := k.observe(rows); wait > 0 {
		return wait, nil
	}
	return 0, k.takeOver(ctx, rows, holder)
}

// observe records the versions of the rows and returns how long they have to remain
// unchanged.
func (k *Keeper) observe(rows []burdockyard.Row) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeEra(rows[0].Era)
	now := k.now()
	seen := observation{holder: rows[0].Version, lease: rows[1].Version, era: rows[0].Era, since: k.seen.since}
	if k.seen.since.IsZero() || seen != k.seen {
		seen.since = now
		k.seen = seen
	}
	return max(k.takeoverWait()-now.Sub(k.seen.since), k.notBefore.Sub(now))
}

// takeOver makes this node the holder. It reads the row back, since a commit does not tell
// the new version, and may have been executed although it got no answer.
func (k *Keeper) takeOver(ctx context.Context, rows []burdockyard.Row, previous holderRow) error {
	era := rows[0].Era
	next := holderRow{Holder: k.self.Node, Incarnation: k.self.Incarnation, Fence: max(previous.Fence, era<<eraBits) + 1}
	requestedAt := k.now()
	err := k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{checkOf(rows[0]), checkOf(rows[1])},
		Writes: []burdockyard.Write{{Key: k.holderKey(), Value: next.encode()}, k.leaseWrite()},
	})
	if hadNoEffect(err) {
		return err
	}
	row, stored, readErr := k.readHolder(ctx)
	if readErr != nil || stored != next || row.Era != era {
		return errors.Join(merry.Wrap(ErrNotHeld), err, readErr)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.era != era {
		return merry.Wrap(ErrNotHeld)
	}
	k.held, k.row, k.version, k.unresolved = true, next, row.Version, false
	k.renewedAt, k.validUntil = requestedAt, requestedAt.Add(k.ttl)
	return nil
}

func (k *Keeper) readHolder(ctx context.Context) (burdockyard.Row, holderRow, error) {
	rows, err := k.table.Get(ctx, k.holderKey())
	if err != nil {
		return burdockyard.Row{}, holderRow{}, err
	}
	r, err := decodeHolder(rows[0])
	return rows[0], r, err
}

func checkOf(row burdockyard.Row) burdockyard.Check {
	return burdockyard.Check{Key: row.Key, Version: row.Version, Era: row.Era}
}

// hadNoEffect reports whether an error of a commit means that nothing was written, or that
// what was written does not count.
func hadNoEffect(err error) bool {
	return errors.Is(err, burdockyard.ErrConflict) || errors.Is(err, burdockyard.ErrUnavailable) || errors.Is(err, burdockyard.ErrEraChanged)
}

// leaseWrite returns a write of the lease row.
func (k *Keeper) leaseWrite() burdockyard.Write {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.renewals++
	value := string(k.self.Incarnation) + " " + strconv.FormatUint(k.renewals, 10)
	return burdockyard.Write{Key: k.leaseKey(), Value: []byte(value)}
}

// Commit renews the lease and applies writes in the same transaction, provided that this
// node still holds the duties. If it returns an error, the writes may have been executed,
// but none of them is executed after the next successful Commit. ErrNotHeld means that the
// duties are lost.
func (k *Keeper) Commit(ctx context.Context, writes ...burdockyard.Write) error {
	k.tableLock <- struct{}{}
	defer func() { <-k.tableLock }()
	if err := k.resolve(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	held, check := k.held, k.check()
	k.mu.Unlock()
	if !held {
		return merry.Wrap(ErrNotHeld)
	}
	requestedAt := k.now()
	err := k.table.Commit(ctx, burdockyard.Txn{Checks: []burdockyard.Check{check}, Writes: append([]burdockyard.Write{k.leaseWrite()}, writes...)})
	return k.recordCommit(err, requestedAt)
}

// check returns the condition that the row is unchanged. mu must be held.
func (k *Keeper) check() burdockyard.Check {
	return burdockyard.Check{Key: k.holderKey(), Version: k.version, Era: k.era}
}

func (k *Keeper) recordCommit(err error, requestedAt time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		if k.held {
			k.renewedAt, k.validUntil = requestedAt, requestedAt.Add(k.ttl)
		}
	case errors.Is(err, burdockyard.ErrEraChanged):
		k.drop()
		k.notBefore = k.now().Add(2 * k.ttl)
		return errors.Join(merry.Wrap(ErrNotHeld), err)
	case errors.Is(err, burdockyard.ErrUnavailable):
	default:
		// A conflict may also come from an earlier write of this process to the row.
		k.unresolved = true
	}
	return err
}

// resolve makes sure that no earlier write of this process can still be executed: it reads
// the row and writes it anew, which gives it another version.
func (k *Keeper) resolve(ctx context.Context) error {
	k.mu.Lock()
	held, unresolved, era := k.held, k.unresolved, k.era
	k.mu.Unlock()
	if !held || !unresolved {
		return nil
	}
	row, stored, err := k.readHolder(ctx)
	if err != nil {
		return err
	}
	if lost := k.ObserveEra(row.Era) || !k.isOwn(stored); lost {
		k.Abandon()
		return merry.Wrap(ErrNotHeld)
	}
	next := stored
	next.Epoch++
	requestedAt := k.now()
	err = k.table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: k.holderKey(), Version: row.Version, Era: era}},
		Writes: []burdockyard.Write{{Key: k.holderKey(), Value: next.encode()}, k.leaseWrite()},
	})
	if err != nil {
		return k.recordCommit(err, requestedAt)
	}
	if row, stored, err = k.readHolder(ctx); err != nil {
		return err
	}
	if stored != next || row.Era != era {
		return k.recordCommit(merry.Wrap(burdockyard.ErrConflict), requestedAt)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held {
		k.row, k.version, k.unresolved = stored, row.Version, false
		k.renewedAt, k.validUntil = requestedAt, requestedAt.Add(k.ttl)
	}
	return nil
}

// isOwn reports whether the row names this process under its present fencing number.
func (k *Keeper) isOwn(r holderRow) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return r.Holder == k.self.Node && r.Incarnation == k.self.Incarnation && r.Fence == k.row.Fence
}
