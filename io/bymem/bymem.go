// Package bymem is a table service and an object store in memory. The platform
// stand-in serves it, and tests use it in place of a platform.
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

// Table is a transactional table. mu is a leaf lock.
type Table struct {
	mu   sync.Mutex
	rows map[string]burdockyard.Row
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{rows: map[string]burdockyard.Row{}} }

// Get implements burdockyard.Table.
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

// Commit implements burdockyard.Table.
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

// Objects is an object store. mu is a leaf lock.
type Objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty Objects.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Put implements burdockyard.ObjectStore.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[key] = data
	return nil
}

// Get implements burdockyard.ObjectStore.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	if !ok {
		return nil, burdockyard.ErrNotFound
	}
	return data, nil
}
