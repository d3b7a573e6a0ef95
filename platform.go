package burdockyard

import "context"

// Row is one row of the table service. Version 0 means that no such row exists.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Exists reports whether the row was there when it was read.
func (r Row) Exists() bool { return r.Version != 0 }

// Check is a condition of a transaction: the row still has this version.
// Version 0 asks that the row be absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: if every check holds, every write is applied, at once.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table service.
//
// Commit returns nil once the writes are durable, ErrConflict or ErrUnavailable
// if they certainly are not, and any other error if that is not known.
type Table interface {
	// Get reads the rows of the given keys in one consistent read, in that order.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's store of immutable objects.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
}

// VM is an entry of the platform's VM list.
type VM struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// FormerHolders asks processes to give up a lease that they have lost.
type FormerHolders interface {
	// Yield reports whether the process m can no longer send orders of the shard
	// under the fence or an older one. It is true if m says so, if another process
	// runs at its address, and if the VM refuses the connection. An error or false
	// proves nothing.
	Yield(ctx context.Context, m Member, shard ShardID, fence uint64) (bool, error)
}
