package byentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/byquarantine"
	"burdockyard/io/bylog"
)

const (
	// quarantineTable is the store table with one row for each key under which several
	// endpoints have ended. A node that starts reads it before it accepts requests, since
	// all nodes may have been killed at once. Releases up to efd7c1a ignore the rows of keys that
	// are not of a request.
	quarantineTable = "quarantine"
	// maxRecordWrites is the largest number of rows written in one transaction.
	maxRecordWrites = 40
	// trialClaimTimeout limits the claim of a trial.
	trialClaimTimeout = 500 * time.Millisecond
	// maxRecordBytes, maxRecordEnds and maxRecordMS, the end of the year 9999, bound what a
	// row can hold. One beyond them comes from another writer.
	maxRecordBytes = 1 << 10
	maxRecordEnds  = 1_000_000
	maxRecordMS    = 253_402_300_799_999
	// saveInterval is the shortest time between two saves of a node.
	saveInterval = 100 * time.Millisecond
	// recordRetryDelay is the longest delay after a failed read or write of records.
	recordRetryDelay = time.Second
)

// recordRow is the JSON value of a row in the quarantine table. Times are Unix
// milliseconds.
type recordRow struct {
	Ends        int   `json:"ends"` // number of ends and trials
	LastEndMS   int64 `json:"last_end"`
	LastTrialMS int64 `json:"last_trial,omitempty"`
	// Releases up to efd7c1a neither read nor write the other fields. Companions are hexadecimal
	// numbers like the keys of rows.
	Companions   []string `json:"companions,omitzero"`
	LastAnswerMS int64    `json:"last_answer,omitempty"`
}

// recordKey returns the key of a record's row.
func recordKey(key byquarantine.Key) string {
	return quarantineTable + "/" + strconv.FormatUint(uint64(key), 16)
}

// encodeRecord returns the value of a record's row.
func encodeRecord(r byquarantine.Record) ([]byte, error) {
	row := recordRow{Ends: r.Ends, LastEndMS: r.LastEnd.UnixMilli()}
	if !r.LastTrial.IsZero() {
		row.LastTrialMS = r.LastTrial.UnixMilli()
	}
	if !r.LastAnswer.IsZero() {
		row.LastAnswerMS = r.LastAnswer.UnixMilli()
	}
	if r.Companions != nil {
		row.Companions = []string{}
	}
	for _, key := range r.Companions {
		row.Companions = append(row.Companions, strconv.FormatUint(uint64(key), 16))
	}
	return json.Marshal(row)
}

// decodeRecord decodes a row of the quarantine table. Other writers have access to it. If
// only the value is invalid, the record that is returned with the error has its key.
func decodeRecord(row burdockyard.Row) (byquarantine.Record, error) {
	key, err := strconv.ParseUint(strings.TrimPrefix(row.Key, quarantineTable+"/"), 16, 64)
	if err != nil || recordKey(byquarantine.Key(key)) != row.Key {
		return byquarantine.Record{}, fmt.Errorf("row %s: the key is not a hexadecimal number", row.Key)
	}
	r := byquarantine.Record{Key: byquarantine.Key(key)}
	if len(row.Value) > maxRecordBytes {
		return r, fmt.Errorf("row %s: %d bytes; expected at most %d", row.Key, len(row.Value), maxRecordBytes)
	}
	var v recordRow
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return r, merry.Prepend(err, "row "+row.Key)
	}
	if v.Ends < 0 || v.Ends > maxRecordEnds || max(v.LastEndMS, v.LastTrialMS, v.LastAnswerMS) > maxRecordMS || min(v.LastEndMS, v.LastTrialMS, v.LastAnswerMS) < 0 {
		return r, fmt.Errorf("row %s: %+v is out of range", row.Key, v)
	}
	if v.LastAnswerMS > 0 {
		r.LastAnswer = time.UnixMilli(v.LastAnswerMS)
	}
	if len(v.Companions) > byquarantine.MaxCompanions {
		return r, fmt.Errorf("row %s: %d companions; expected at most %d", row.Key, len(v.Companions), byquarantine.MaxCompanions)
	}
	if v.Companions != nil {
		r.Companions = []byquarantine.Key{}
	}
	for _, text := range v.Companions {
		companion, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return byquarantine.Record{Key: r.Key}, fmt.Errorf("row %s: companion %q is not a hexadecimal number", row.Key, text)
		}
		r.Companions = append(r.Companions, byquarantine.Key(companion))
	}
	r.Ends, r.LastEnd = v.Ends, time.UnixMilli(v.LastEndMS)
	if v.LastTrialMS > 0 {
		r.LastTrial = time.UnixMilli(v.LastTrialMS)
	}
	return r, nil
}

// recordStore reads and writes the records of the quarantine that outlive the nodes.
type recordStore struct {
	node  *Node
	wake  chan struct{} // has an element if there may be unsaved records
	known atomic.Bool   // whether this node knows the records, from the store or from a peer that does
	done  chan struct{} // closed once run has returned

	oddRows oddRows // used by run only
}

// oddRows remembers rows that could not be decoded, so that each is logged once and not at
// each reading. The zero value is ready for use.
type oddRows struct {
	versions map[string]burdockyard.StoreVersion
}

// maxOddRows is the largest number of rows that an oddRows remembers.
const maxOddRows = 1000

// isNew reports whether the row was not given to isNew before at this version.
func (o *oddRows) isNew(row burdockyard.Row) bool {
	version := burdockyard.StoreVersion{Era: row.Era, Number: row.Version}
	last, known := o.versions[row.Key]
	if known && last == version || !known && len(o.versions) >= maxOddRows {
		return false
	}
	if o.versions == nil {
		o.versions = map[string]burdockyard.StoreVersion{}
	}
	o.versions[row.Key] = version
	return true
}

func newRecordStore(n *Node) *recordStore {
	s := &recordStore{node: n, wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.known.Store(n.settings.FirstSystemStart) // there are none yet
	return s
}

// saveSoon makes run write the unsaved records.
func (s *recordStore) saveSoon() {
	select {
	case s.wake <- struct{}{}:
	default: // it is about to
	}
}

// run reads the records, and then writes those that change, until ctx is done.
func (s *recordStore) run(ctx context.Context) error {
	defer close(s.done)
	if !s.node.settings.FirstSystemStart {
		s.retry(ctx, s.load)
		s.known.Store(ctx.Err() == nil)
	}
	for ctx.Err() == nil {
		select {
		case <-s.wake:
			s.retry(ctx, s.save)
			sleep(ctx, saveInterval)
		case <-ctx.Done():
		}
	}
	return nil
}

// retry calls f until it succeeds or ctx is done.
func (s *recordStore) retry(ctx context.Context, f func(context.Context) error) {
	for delay := baseRetryDelay; ctx.Err() == nil; delay = min(2*delay, recordRetryDelay) {
		err := f(ctx)
		s.count(err)
		if err == nil {
			return
		}
		s.node.log.fleet.Debug("could not read or write records of the quarantine; will retry", bylog.Err(err))
		sleep(ctx, delay/2+rand.N(delay))
	}
}

// count counts a store call.
func (s *recordStore) count(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	s.node.metrics.StoreCalls(quarantineTable, outcome).Inc()
}

// scan returns the rows of the table that belong to a key, and the records in those that
// can be decoded.
func (s *recordStore) scan(ctx context.Context) (map[byquarantine.Key]burdockyard.Row, []byquarantine.Record, error) {
	snap, err := s.node.platform.Registry.Scan(ctx, quarantineTable)
	if err != nil {
		return nil, nil, err
	}
	rows := map[byquarantine.Key]burdockyard.Row{}
	var records []byquarantine.Record
	for _, row := range snap.Rows {
		r, err := decodeRecord(row)
		if r.Key != 0 {
			rows[r.Key] = row
		}
		if err != nil {
			if s.oddRows.isNew(row) {
				s.node.log.fleet.Warn("row of the quarantine has an invalid value", bylog.Err(err))
			}
			continue
		}
		records = append(records, r)
	}
	return rows, records, nil
}

// load reads all records.
func (s *recordStore) load(ctx context.Context) error {
	_, records, err := s.scan(ctx)
	if err != nil {
		return err
	}
	s.node.applyQuarantineChange(s.node.quarantine.Load(records), "store")
	return nil
}

// save writes the unsaved records, and removes those that no longer matter.
func (s *recordStore) save(ctx context.Context) error {
	q := s.node.quarantine
	if len(q.Unsaved()) == 0 {
		return nil
	}
	rows, stored, err := s.scan(ctx)
	if err != nil {
		return err
	}
	s.node.applyQuarantineChange(q.Load(stored), "store")
	unsaved := q.Unsaved()
	txn, err := saveTxn(rows, stored, unsaved, s.node.clock.Now())
	if err != nil {
		return err
	}
	if len(txn.Writes) > 0 {
		if err := s.node.platform.Table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	if len(txn.Writes) >= maxRecordWrites {
		s.saveSoon()
		return nil
	}
	q.MarkSaved(unsaved)
	return nil
}

// saveTxn returns the transaction that writes unsaved records to a table with the given
// rows, and removes those that have lapsed. It may leave out some if there are many.
func saveTxn(rows map[byquarantine.Key]burdockyard.Row, stored, unsaved []byquarantine.Record, now time.Time) (burdockyard.Txn, error) {
	var txn burdockyard.Txn
	add := func(key byquarantine.Key, w burdockyard.Write) {
		if len(txn.Writes) < maxRecordWrites {
			row := rows[key] // zero if there is none
			txn.Checks = append(txn.Checks, burdockyard.Check{Key: recordKey(key), Version: row.Version, Era: row.Era})
			txn.Writes = append(txn.Writes, w)
		}
	}
	byKey := map[byquarantine.Key]byquarantine.Record{}
	for _, r := range stored {
		byKey[r.Key] = r
	}
	shared := 0 // rows of keys that are not of a request
	for key := range rows {
		if !key.IsRequest() {
			shared++
		}
	}
	for _, r := range unsaved {
		if _, exists := rows[r.Key]; !exists && !r.Key.IsRequest() && r.Ends > 0 {
			if shared >= byquarantine.MaxSharedRecords {
				oldest := oldestShared(byKey)
				if oldest == 0 {
					continue
				}
				add(oldest, burdockyard.Write{Key: recordKey(oldest), Delete: true})
				delete(byKey, oldest)
				shared--
			}
			shared++
		}
		known, ok := byKey[r.Key]
		switch {
		case r.Ends == 0 && ok:
			add(r.Key, burdockyard.Write{Key: recordKey(r.Key), Delete: true})
		case r.Ends > 0 && !(ok && known.Supersedes(r)) && (ok || len(rows) < byquarantine.MaxRecords):
			value, err := encodeRecord(r)
			if err != nil {
				return txn, err
			}
			add(r.Key, burdockyard.Write{Key: recordKey(r.Key), Value: value})
		}
		delete(byKey, r.Key)
	}
	for key, r := range byKey {
		if r.HasLapsed(now) {
			add(key, burdockyard.Write{Key: recordKey(key), Delete: true})
		}
	}
	return txn, nil
}

// oldestShared returns the key of the record that has changed the longest ago of those that
// are not of a request, or 0 if there is none.
func oldestShared(records map[byquarantine.Key]byquarantine.Record) byquarantine.Key {
	var oldest byquarantine.Key
	for key, r := range records {
		if !key.IsRequest() && (oldest == 0 || r.LastChange().Before(records[oldest].LastChange())) {
			oldest = key
		}
	}
	return oldest
}

// errTrialTaken means that another node has made a trial of a request.
var errTrialTaken = errors.New("another node has made the trial")

// claimTrial records in the store that this node makes a trial of the request with the
// given key. It returns an error if another node may make it, too.
func (s *recordStore) claimTrial(ctx context.Context, key byquarantine.Key) error {
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	rows, err := s.node.platform.Table.Get(ctx, recordKey(key))
	s.count(err)
	if err != nil {
		return err
	}
	own := s.node.quarantine.Record(key)
	if row := rows[0]; row.Exists() {
		stored, err := decodeRecord(row)
		if err == nil && stored.Covers(own) {
			s.node.applyQuarantineChange(s.node.quarantine.Load([]byquarantine.Record{stored}), "store")
			return errTrialTaken
		}
	}
	value, err := encodeRecord(own)
	if err != nil {
		return err
	}
	err = s.node.platform.Table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: recordKey(key), Version: rows[0].Version, Era: rows[0].Era}},
		Writes: []burdockyard.Write{{Key: recordKey(key), Value: value}},
	})
	s.count(err)
	return err
}
