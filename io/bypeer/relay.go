package bypeer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"burdockyard"
	"burdockyard/core/bytransfer"
	"burdockyard/io/bypeer/bypeerpb"
	"burdockyard/io/bywire"
)

// relayLimits and readLimits are the limits of the calls that send a reading and that ask for one.
var (
	relayLimits = bytransfer.Limits{Idle: 400 * time.Millisecond}
	readLimits  = bytransfer.Limits{Idle: 500 * time.Millisecond}
)

const (
	// maxPeerReplyBytes limits the reply of a node to a reading or a question, which is short.
	// Another program may have taken its address.
	maxPeerReplyBytes = 64 << 10
	// maxReadingBytes limits the reply of a node that is asked for a table, and what a patch leads to.
	maxReadingBytes = 8 << 20
	// maxPlainRelays limits the large readings that are on their way without a patch. They fill the
	// link of this node.
	maxPlainRelays = 8
	// plainMemory is how long a node counts as one of an earlier release, which knows no patches.
	plainMemory = time.Minute
)

// TableReading is the content of a table in the platform's store, or the changes
// to it, as one node has read them.
type TableReading struct {
	Table        string
	ChangedSince burdockyard.StoreVersion // version that Changes start from, of the same era as Version; zero if Changes hold the whole table
	Version      burdockyard.StoreVersion // version of the table after Changes
	Age          time.Duration            // time since the node sent its request to the store
	Changes      []burdockyard.Change
}

// RelayClients exchanges readings with other nodes, with one RPC client for each
// address. Its methods may be called from several goroutines. mu guards
// clientsByAddr; no other lock is taken while it is held.
type RelayClients struct {
	httpClient, readClient *http.Client
	plainSlots             *semaphore.Weighted // held by large readings without a patch

	mu            sync.Mutex
	clientsByAddr map[string]bypeerpb.Relay
	plainSince    map[string]time.Time // when a node has shown that it is of an earlier release
}

// RelayOption sets an optional part of RelayClients.
type RelayOption func(*RelayClients)

// WithTransport sets what carries the calls. The default is HTTP over TCP.
func WithTransport(rt http.RoundTripper) RelayOption {
	return func(c *RelayClients) {
		c.httpClient, c.readClient = &http.Client{Transport: rt}, &http.Client{Transport: rt}
	}
}

// NewRelayClients returns RelayClients that connect to a node on the first call
// to it.
func NewRelayClients(opts ...RelayOption) *RelayClients {
	c := &RelayClients{httpClient: bywire.NewClient(), readClient: bywire.NewUnpooledClient(), plainSlots: semaphore.NewWeighted(maxPlainRelays), clientsByAddr: map[string]bypeerpb.Relay{}, plainSince: map[string]time.Time{}}
	for _, opt := range opts {
		opt(c)
	}
	bywire.LimitReplies(c.httpClient, maxPeerReplyBytes)
	bywire.LimitTime(bywire.LimitReplies(c.readClient, maxReadingBytes), readLimits)
	return c
}

// client returns the client for calls to a node that send a reading.
func (c *RelayClients) client(addr string) bypeerpb.Relay {
	c.mu.Lock()
	defer c.mu.Unlock()
	relay := c.clientsByAddr[addr]
	if relay == nil {
		relay = bypeerpb.NewRelayProtobufClient("http://"+addr, c.httpClient)
		c.clientsByAddr[addr] = relay
	}
	return relay
}

// isPlain reports whether a node has lately shown that it knows no patches.
func (c *RelayClients) isPlain(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.plainSince[addr]
	if ok && time.Since(at) >= plainMemory {
		delete(c.plainSince, addr)
		ok = false
	}
	return ok
}

// recordPlain records that a node knows no patches if err, returned by a call to it, says so.
func (c *RelayClients) recordPlain(addr string, err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Code() != twirp.BadRoute {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plainSince[addr] = time.Now()
	return true
}

// Send sends the reading in p to the node at addr and returns the version of the table that the
// receiver has after applying it. age returns the time since the reading was requested, and left is
// how long it is of use to the receiver.
func (c *RelayClients) Send(ctx context.Context, addr string, p *Parcel, age func() time.Duration, left time.Duration) (burdockyard.StoreVersion, error) {
	relay := c.client(addr)
	if !p.isSmall() && !c.isPlain(addr) {
		v, err := c.sendPacked(ctx, relay, p, age, left)
		if !c.recordPlain(addr, err) {
			return v, err
		}
	}
	if !p.isSmall() {
		if err := c.plainSlots.Acquire(ctx, 1); err != nil {
			return burdockyard.StoreVersion{}, merry.Wrap(err)
		}
		defer c.plainSlots.Release(1)
	}
	msg := p.message(age())
	ctx, cancel := context.WithTimeout(ctx, relayLimits.SendTime(proto.Size(msg), left))
	defer cancel()
	reply, err := relay.Tell(ctx, msg)
	return burdockyard.StoreVersion{Era: reply.GetEra(), Number: reply.GetVersion()}, merry.Wrap(err)
}

// sendPacked sends the patch from the base that p expects at its receivers, and, to one that has
// another, the patch from that one.
func (c *RelayClients) sendPacked(ctx context.Context, relay bypeerpb.Relay, p *Parcel, age func() time.Duration, left time.Duration) (burdockyard.StoreVersion, error) {
	base := p.expected
	for attempt := 0; ; attempt++ {
		patch, err := p.patch(base)
		if err != nil {
			return burdockyard.StoreVersion{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, relayLimits.SendTime(len(patch), left))
		reply, err := relay.TellPacked(ctx, &bypeerpb.PackedReading{Table: p.reading.Table, AgeUs: age().Microseconds(), BaseKey: p.baseKey, Patch: patch})
		cancel()
		if err != nil || !reply.GetLacksBase() || attempt > 0 {
			return burdockyard.StoreVersion{Era: reply.GetEra(), Number: reply.GetVersion()}, merry.Wrap(err)
		}
		base = reply.GetBaseVersion()
	}
}

// Question is what a node asks another for: what a copy of a table lacks.
type Question struct {
	Table string
	After burdockyard.StoreVersion // version of the copy; zero if it wants the whole table
	Base  burdockyard.Row          // the largest row of the copy, if any
}

// Read asks the node at addr for what it has read of a table that the asking node lacks. It returns
// a reading with no changes if that is nothing, and burdockyard.ErrNotFound if the node at addr has
// no copy either. bytes is the size of what has come.
func (c *RelayClients) Read(ctx context.Context, addr string, q Question) (r TableReading, bytes int, err error) {
	relay := bypeerpb.NewRelayProtobufClient("http://"+addr, c.readClient)
	req := &bypeerpb.ReadRequest{Table: q.Table, After: q.After.Number, Era: q.After.Era, BaseKey: q.Base.Key, BaseVersion: q.Base.Version}
	reply := &bypeerpb.Reading{}
	isPlain := c.isPlain(addr)
	if !isPlain {
		var packed *bypeerpb.PackedReading
		packed, err = relay.ReadPacked(ctx, req)
		if isPlain = c.recordPlain(addr, err); err == nil {
			bytes = proto.Size(packed)
			reply, err = unpack(packed, [][]byte{q.Base.Value})
		}
	}
	if isPlain {
		reply, err = relay.Read(ctx, req)
		bytes = proto.Size(reply)
	}
	switch {
	case err != nil:
		return TableReading{}, bytes, merry.Wrap(err)
	case reply.GetVersion() == 0 || reply.GetAgeUs() < 0:
		return TableReading{}, bytes, merry.Wrap(burdockyard.ErrNotFound)
	}
	r = readingFromProto(reply)
	r.Table = q.Table
	return r, bytes, nil
}

func readingToProto(r TableReading) *bypeerpb.Reading {
	msg := &bypeerpb.Reading{Table: r.Table, After: r.ChangedSince.Number, Version: r.Version.Number, Era: r.Version.Era, AgeUs: r.Age.Microseconds()}
	for _, ch := range r.Changes {
		msg.Rows = append(msg.Rows, &bypeerpb.StoreRow{
			Key: ch.Row.Key, Value: ch.Row.Value, Version: ch.Row.Version, Removed: ch.Removed,
		})
	}
	return msg
}

func readingFromProto(msg *bypeerpb.Reading) TableReading {
	r := TableReading{
		Table: msg.GetTable(), Version: burdockyard.StoreVersion{Era: msg.GetEra(), Number: msg.GetVersion()},
		Age: time.Duration(msg.GetAgeUs()) * time.Microsecond,
	}
	if msg.GetAfter() > 0 {
		r.ChangedSince = burdockyard.StoreVersion{Era: msg.GetEra(), Number: msg.GetAfter()}
	}
	for _, row := range msg.GetRows() {
		r.Changes = append(r.Changes, burdockyard.Change{
			Row:     burdockyard.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion()},
			Removed: row.GetRemoved(),
		})
	}
	return r
}
