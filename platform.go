package burdockyard

import (
	"cmp"
	"context"
)

// StoreVersion is a version of the platform's store. A store that has been restored
// from an older copy begins a new era and counts on from the version of the copy. So a
// number means something only together with its era.
type StoreVersion struct {
	Era    uint64
	Number uint64
}

// Compare returns a negative number if v is older than w, and a positive one if it is
// newer. Every version of an era is newer than all versions of earlier eras.
func (v StoreVersion) Compare(w StoreVersion) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Number, w.Number))
}

// Row is one row of the table service. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"` // era of Version, see StoreVersion
}

// Exists reports whether the row existed when it was read.
func (r Row) Exists() bool { return r.Version != 0 }

// Check is a condition of a transaction: the row must still have this version.
// Version 0 requires that the row does not exist. A check holds only in the era in
// which the row was read; Commit returns ErrEraChanged in any other.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: its writes are applied atomically if every check holds.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table service.
//
// Commit returns nil once the writes are durable, ErrConflict or ErrUnavailable
// if nothing was written, and any other error if the outcome is unknown.
type Table interface {
	// Get returns the rows of keys in the order of keys, from one consistent read.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies a transaction if its checks hold.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's store of immutable objects.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs, which may be out of date.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// FormerHolderClient is the client that asks other processes to give up a lease
// that they have lost.
type FormerHolderClient interface {
	// Yield reports whether process m can no longer send orders to the shard under
	// fence or an older fencing token. It returns true if m confirms this, if
	// another process runs at its address, or if the VM refuses the connection.
	// After an error or false, m may still send such orders.
	Yield(ctx context.Context, m Member, shard ShardID, fence uint64) (bool, error)
}
