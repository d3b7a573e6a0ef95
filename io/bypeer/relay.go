package bypeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
	"burdockyard/io/bypeer/bypeerpb"
	"burdockyard/io/bywire"
)

// relayTimeout limits the duration of one relay call. A reading that arrives
// later is of little use.
const relayTimeout = 400 * time.Millisecond

// maxPeerReplyBytes limits the reply of a node to a reading or a question, which is short.
// Another program may have taken its address.
const maxPeerReplyBytes = 64 << 10

// TableReading is the content of a table in the platform's store, or the changes
// to it, as one node has read them.
type TableReading struct {
	Table        string
	ChangedSince burdockyard.StoreVersion // version that Changes start from, of the same era as Version; zero if Changes hold the whole table
	Version      burdockyard.StoreVersion // version of the table after Changes
	Age          time.Duration            // time since the node sent its request to the store
	Changes      []burdockyard.Change
}

// RelayClients sends readings to other nodes, with one RPC client for each
// address. Its methods may be called from several goroutines. mu guards
// clientsByAddr; no other lock is taken while it is held.
type RelayClients struct {
	httpClient *http.Client

	mu            sync.Mutex
	clientsByAddr map[string]bypeerpb.Relay
}

// NewRelayClients returns RelayClients that connect to a node on the first call
// to it.
func NewRelayClients() *RelayClients {
	return &RelayClients{httpClient: bywire.LimitReplies(bywire.NewClient(), maxPeerReplyBytes), clientsByAddr: map[string]bypeerpb.Relay{}}
}

// SendReading sends a reading to the node at addr and returns the version of the
// table that the receiver has after applying it.
func (c *RelayClients) SendReading(ctx context.Context, addr string, r TableReading) (burdockyard.StoreVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c.mu.Lock()
	relay := c.clientsByAddr[addr]
	if relay == nil {
		relay = bypeerpb.NewRelayProtobufClient("http://"+addr, c.httpClient)
		c.clientsByAddr[addr] = relay
	}
	c.mu.Unlock()
	msg := &bypeerpb.Reading{Table: r.Table, After: r.ChangedSince.Number, Version: r.Version.Number, Era: r.Version.Era, AgeUs: r.Age.Microseconds()}
	for _, ch := range r.Changes {
		msg.Rows = append(msg.Rows, &bypeerpb.StoreRow{
			Key: ch.Row.Key, Value: ch.Row.Value, Version: ch.Row.Version, Removed: ch.Removed,
		})
	}
	reply, err := relay.Tell(ctx, msg)
	return burdockyard.StoreVersion{Era: reply.GetEra(), Number: reply.GetVersion()}, merry.Wrap(err)
}

// NewRelayHandler returns a handler for the readings that other nodes send. It
// calls apply with each; apply returns the version of the table that this node
// has afterwards.
func NewRelayHandler(apply func(TableReading) burdockyard.StoreVersion) http.Handler {
	return bypeerpb.NewRelayServer(relayServer(apply))
}

type relayServer func(TableReading) burdockyard.StoreVersion

// Tell implements bypeerpb.Relay. It calls s with the reading that msg encodes.
func (s relayServer) Tell(_ context.Context, msg *bypeerpb.Reading) (*bypeerpb.Told, error) {
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
	v := s(r)
	return &bypeerpb.Told{Version: v.Number, Era: v.Era}, nil
}
