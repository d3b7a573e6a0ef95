package byentry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/core/bymirror"
	"burdockyard/core/byroutes"
	"burdockyard/core/byversion"
	"burdockyard/io/bylog"
)

const (
	// splitTable is the store table with the byversion.Record, in the row splitKey.
	splitTable = "splits"
	splitKey   = splitTable + "/record"
	// splitCheckInterval is the interval between two checks whether the record should change.
	splitCheckInterval = 200 * time.Millisecond
	// splitWriteTimeout limits one write of the record.
	splitWriteTimeout = time.Second
	// splitReadWait is how long a node waits after a write until it has read the record
	// back. It writes nothing meanwhile.
	splitReadWait = 3 * time.Second
	// maxStreamLifetime limits for how long a stream is expected to be taken up.
	maxStreamLifetime = 2 * time.Minute
	// maxSplitWeight is the largest weight of a version in a row.
	maxSplitWeight = 1 << 16
)

// splitRow is the JSON value of the row in the table splitTable. Weights are those of
// byversion.Split, by version.
type splitRow struct {
	Era      uint64                `json:"era"`
	Seq      uint64                `json:"seq"`
	Services map[string]splitState `json:"services"`
}

type splitState struct {
	Active       map[string]int `json:"active"`
	Next         map[string]int `json:"next,omitempty"`
	NextSince    uint64         `json:"next_since,omitempty"`
	Formers      []splitFormer  `json:"formers,omitempty"`
	UnknownSince uint64         `json:"unknown_since,omitempty"`
}

type splitFormer struct {
	Weights   map[string]int `json:"weights"`
	RetiredBy uint64         `json:"retired_by"`
}

// encodeSplits returns the row's value for a record.
func encodeSplits(r byversion.Record) ([]byte, error) {
	row := splitRow{Era: r.Era, Seq: r.Seq, Services: map[string]splitState{}}
	for service, s := range r.Services {
		state := splitState{Active: s.Active.Weights(), Next: s.Next.Weights(), NextSince: s.NextSince, UnknownSince: s.UnknownSince}
		for _, f := range s.Formers {
			state.Formers = append(state.Formers, splitFormer{f.Split.Weights(), f.RetiredBy})
		}
		row.Services[service] = state
	}
	return json.Marshal(row)
}

// decodeSplits decodes the row's value.
func decodeSplits(value []byte) (byversion.Record, error) {
	var row splitRow
	if err := json.Unmarshal(value, &row); err != nil {
		return byversion.Record{}, merry.Prepend(err, "row "+splitKey)
	}
	r := byversion.Record{Era: row.Era, Seq: row.Seq, Services: map[string]byversion.State{}}
	for service, state := range row.Services {
		splits := []map[string]int{state.Active, state.Next}
		for _, f := range state.Formers {
			splits = append(splits, f.Weights)
		}
		for _, weights := range splits {
			for version, w := range weights {
				if w < 1 || w > maxSplitWeight {
					return byversion.Record{}, merry.Wrap(fmt.Errorf("row %s: service %q: weight %d of version %q is not between 1 and %d", splitKey, service, w, version, maxSplitWeight))
				}
			}
		}
		s := byversion.State{Active: byversion.NewSplit(state.Active), Next: byversion.NewSplit(state.Next), NextSince: state.NextSince, UnknownSince: state.UnknownSince}
		for _, f := range state.Formers {
			s.Formers = append(s.Formers, byversion.Former{Split: byversion.NewSplit(f.Weights), RetiredBy: f.RetiredBy})
		}
		r.Services[service] = s
	}
	return r, nil
}

// versions keeps this node's view of the splits up to date, and proposes new ones. Only the
// loop of reconcile uses writtenAt and writtenOver.
type versions struct {
	node            *Node
	table           *byversion.Table
	watcher         *tableWatcher
	longestDeadline atomic.Int64 // longest time that a caller of a resumable stream was ready to wait, in nanoseconds
	writtenAt       time.Time    // when this node has last written a record
	writtenOver     uint64       // version of the row that it wrote over

	// mu is held while a reading is applied to table. It is locked before the lock of table.
	mu  sync.Mutex
	row burdockyard.Row // row that table was last told of; zero if there was none
}

func newVersions(n *Node) *versions {
	v := &versions{node: n}
	maxAge := func() time.Duration { return n.reloadableSettings.Load().ConfigBound }
	opts := []byversion.Option{byversion.WithPeers(func() bool { return n.peers.hearsMost(maxAge()) })}
	if n.settings.FirstSystemStart {
		opts = append(opts, byversion.WithFirstStart())
	}
	v.table = byversion.New(n.clock, maxAge, opts...)
	v.watcher = newTableWatcher(n, splitTable, maxAge, configMaxAgeShare, n.log.fleet, v.apply)
	return v
}

// apply applies a reading of the table.
func (v *versions) apply(_ bymirror.Delta, requestedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	row, exists := v.watcher.mirror.Row(splitKey)
	era := v.watcher.mirror.Version().Era
	if exists && v.row.Version == row.Version && v.row.Era == row.Era {
		v.table.Confirm(requestedAt)
		return
	}
	var record byversion.Record
	if exists {
		var err error
		if record, err = decodeSplits(row.Value); err != nil {
			v.node.log.fleet.Warn("record of the splits not taken", bylog.Err(err))
			return // without a confirmation, the former record is soon too old to begin streams by
		}
	}
	v.row = row
	if v.table.Apply(record, exists, era, requestedAt) {
		v.logRecord(record)
		v.node.peers.sendSoon()
	}
}

// logRecord logs the splits of a record.
func (v *versions) logRecord(r byversion.Record) {
	for service, s := range r.Services {
		v.node.log.fleet.Info("split of versions", bylog.Str("service", service), bylog.Int("seq", int(r.Seq)), bylog.Str("active", fmt.Sprint(s.Active.Weights())),
			bylog.Str("next", fmt.Sprint(s.Next.Weights())), bylog.Int("formers", len(s.Formers)), bylog.Bool("unknown", s.UnknownSince > 0))
	}
}

// lifetimes returns how long after its first event a stream of each service may be taken
// up.
func (v *versions) lifetimes(routes *byroutes.Table) map[string]time.Duration {
	lifetimes := routes.StreamTimeouts(defaultDeadline)
	for service, timeout := range lifetimes {
		lifetimes[service] = min(max(timeout, time.Duration(v.longestDeadline.Load())), maxStreamLifetime)
	}
	return lifetimes
}

// forgetStarts forgets the streams that can no longer be taken up.
func (v *versions) forgetStarts(routes *byroutes.Table) {
	longest := time.Second
	for _, lifetime := range v.lifetimes(routes) {
		longest = max(longest, lifetime)
	}
	v.table.ForgetStarts(longest)
}

// reconcile writes a new record if one is due. One node of each failure domain does so.
func (v *versions) reconcile(ctx context.Context) {
	n := v.node
	routes := n.routes.Current()
	if routes == nil || n.stopping.Load() || n.view.RankByCapacity(splitTable, n.settings.Domain, n.reloadableSettings.Load().Capacity) > 0 {
		return
	}
	capacity, lifetimes := map[string]map[string]int{}, v.lifetimes(routes)
	for service := range lifetimes {
		capacity[service] = n.fleet.StreamVersions(service)
	}
	// The write must be over the row that the proposal is based on.
	v.mu.Lock()
	row := v.row
	next, changed := v.table.Propose(capacity, lifetimes)
	v.mu.Unlock()
	if !changed || row.Version == v.writtenOver && n.clock.Now().Sub(v.writtenAt) < splitReadWait {
		return
	}
	value, err := encodeSplits(next)
	if err != nil {
		n.log.fleet.Warn("could not encode the record of the splits", bylog.Err(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, splitWriteTimeout)
	defer cancel()
	requestedAt := n.clock.Now()
	v.writtenAt, v.writtenOver = requestedAt, row.Version
	err = n.platform.Table.Commit(ctx, burdockyard.Txn{
		Checks: []burdockyard.Check{{Key: splitKey, Version: row.Version, Era: next.Era}},
		Writes: []burdockyard.Write{{Key: splitKey, Value: value}},
	})
	if err != nil {
		n.metrics.StoreCalls(splitTable, "failed").Inc()
		n.log.fleet.Debug("could not write the record of the splits; will retry", bylog.Int("seq", int(next.Seq)), bylog.Err(err))
		return
	}
	n.metrics.StoreCalls(splitTable, "done").Inc()
	if v.table.Apply(next, true, next.Era, requestedAt) {
		v.logRecord(next)
		n.peers.sendSoon()
	}
}

// chooseVersion determines at which version of the endpoints' software a stream should run,
// and has to if its caller takes it up. It returns false after it has refused the stream,
// because it cannot go on at the version that began it.
func (c *call) chooseVersion() bool {
	v := c.node.versions
	service := c.service.Name
	if c.info.LastEventID == "" {
		if c.route.Idempotent() {
			c.version, c.hasVersion = v.table.Preferred(service, c.info.ID)
			v.observeDeadline(c.info.Deadline)
		}
		return true
	}
	version, known := c.versionTakenUp()
	basis := v.table.Basis()
	c.log("stream taken up", bylog.Int("splits_seq", int(basis.Seq)), bylog.Int("heard_seq", int(basis.HeardSeq)), bylog.Millis("splits_age_ms", basis.ReadingAge),
		bylog.Str("began", string(c.info.Resumes)), bylog.Str("last_event", c.info.LastEventID), bylog.Str("version", version), bylog.Bool("known", known))
	c.node.metrics.StreamsTakenUp(service, known).Inc()
	if !known || c.node.fleet.StreamVersions(service)[version] == 0 {
		c.refuse(reasonVersion, minRetryAfter)
		return false
	}
	c.version, c.hasVersion, c.versionBound = version, true, true
	return true
}

// versionTakenUp returns the version that began the stream which the caller takes up, and
// false if it is not known.
func (c *call) versionTakenUp() (string, bool) {
	t, service := c.node.versions.table, c.service.Name
	if !c.route.Idempotent() { // such streams begin at any version
		return c.onlyVersion()
	}
	if c.info.Resumes == "" && !t.IsSettled(service) {
		return "", false
	}
	version, err := t.VersionOf(service, c.info.Resumes)
	return version, err == nil
}

// onlyVersion returns the version of the service's endpoints, and false if they have
// several.
func (c *call) onlyVersion() (string, bool) {
	var version string
	versions := c.node.fleet.StreamVersions(c.service.Name)
	for version = range versions {
	}
	return version, len(versions) == 1
}

// observeDeadline records how long a caller of a resumable stream is ready to wait.
func (v *versions) observeDeadline(d time.Duration) {
	for {
		longest := v.longestDeadline.Load()
		if int64(d) <= longest || v.longestDeadline.CompareAndSwap(longest, int64(d)) {
			return
		}
	}
}

// withVersion returns those of the endpoints at which the stream should run. If there are
// none and no version is required, it returns all. It changes the given slice.
func (c *call) withVersion(endpoints []byfleet.Endpoint) []byfleet.Endpoint {
	if !c.hasVersion {
		return endpoints
	}
	canRun, total := false, 0
	for _, e := range endpoints {
		if e.Version == c.version {
			total++
			canRun = canRun || e.Role != burdockyard.RolePrefill
		}
	}
	if !c.versionBound && (!canRun || total == len(endpoints)) {
		return endpoints
	}
	matching := make([]byfleet.Endpoint, 0, total)
	for _, e := range endpoints {
		if e.Version == c.version {
			matching = append(matching, e)
		}
	}
	return matching
}

// mayBegin reports whether the caller may get the first event of a stream that runs at
// endpoint e before the last one. Otherwise, a stream that breaks off could not be taken
// up at its version.
func (c *call) mayBegin(e byfleet.Endpoint) bool {
	if c.versionBound || !c.route.Idempotent() {
		return true
	}
	if c.node.versions.table.HasNone() {
		return true
	}
	return !c.node.fleet.IsReplaced(e) && c.node.versions.table.MayBegin(c.service.Name, c.info.ID, e.Version)
}
