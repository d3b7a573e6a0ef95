// Package bymem implements the table service and the object store in memory. The
// platform stand-in serves them, and tests use them in place of a platform.
//
// # Usage
//
//	t := bymem.NewTable()
//	err := t.Commit(ctx, burdockyard.Txn{…})
package bymem

import (
	"context"
	"sync"

	"burdockyard"
)

// Table is a transactional key-value table in memory. It is safe for concurrent
// use. No other lock is taken while mu is held.
type Table struct {
	mu   sync.Mutex
	rows map[string]burdockyard.Row
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{rows: map[string]burdockyard.Row{}} }

// Get implements burdockyard.Table. A missing key gives a row with only its key
// set.
func (t *Table) Get(_ context.Context, keys ...string) ([]burdockyard.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]burdockyard.Row, len(keys))
	for i, k := range keys {
		rows[i] = t.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

// Commit implements burdockyard.Table. It writes nothing and returns
// burdockyard.ErrConflict if any check fails.
func (t *Table) Commit(_ context.Context, txn burdockyard.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return burdockyard.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		t.apply(w)
	}
	return nil
}

func (t *Table) apply(w burdockyard.Write) {
	if w.Delete {
		delete(t.rows, w.Key)
		return
	}
	t.rows[w.Key] = burdockyard.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
}

// ObjectStore is an object store in memory. It is safe for concurrent use. No
// other lock is taken while mu is held.
type ObjectStore struct {
	mu   sync.Mutex
	data map[string][]byte
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{data: map[string][]byte{}} }

// Put implements burdockyard.ObjectStore. It keeps data without copying it, so
// the caller must not change data afterwards.
func (o *ObjectStore) Put(_ context.Context, key string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[key] = data
	return nil
}

// Get implements burdockyard.ObjectStore. It returns burdockyard.ErrNotFound for
// a missing key. The caller must not change the data.
func (o *ObjectStore) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	if !ok {
		return nil, burdockyard.ErrNotFound
	}
	return data, nil
}
