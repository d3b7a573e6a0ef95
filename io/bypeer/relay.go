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

// relayTimeout bounds one call of a relay. What it carries is worth little later.
const relayTimeout = 400 * time.Millisecond

// Reading is a table of the platform's store as one node has read it.
type Reading struct {
	Table   string
	From    uint64 // the rows have changed since this version; 0: they are the whole table
	Version uint64
	Age     time.Duration // since the store was asked
	Changes []burdockyard.Change
}

// RelayClients passes readings on to other nodes. mu is a leaf lock.
type RelayClients struct {
	httpClient *http.Client

	mu            sync.Mutex
	clientsByAddr map[string]bypeerpb.Relay
}

// NewRelayClients returns RelayClients without connections.
func NewRelayClients() *RelayClients {
	return &RelayClients{httpClient: bywire.NewClient(), clientsByAddr: map[string]bypeerpb.Relay{}}
}

// Tell passes a reading on, and returns the version that the receiver has then.
func (c *RelayClients) Tell(ctx context.Context, addr string, r Reading) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c.mu.Lock()
	relay := c.clientsByAddr[addr]
	if relay == nil {
		relay = bypeerpb.NewRelayProtobufClient("http://"+addr, c.httpClient)
		c.clientsByAddr[addr] = relay
	}
	c.mu.Unlock()
	msg := &bypeerpb.Reading{Table: r.Table, After: r.From, Version: r.Version, AgeUs: r.Age.Microseconds()}
	for _, ch := range r.Changes {
		msg.Rows = append(msg.Rows, &bypeerpb.StoreRow{
			Key: ch.Row.Key, Value: ch.Row.Value, Version: ch.Row.Version, Removed: ch.Removed,
		})
	}
	reply, err := relay.Tell(ctx, msg)
	return reply.GetVersion(), merry.Wrap(err)
}

// NewRelayHandler serves what other nodes pass on. take returns the version that
// this node has then.
func NewRelayHandler(apply func(Reading) uint64) http.Handler {
	return bypeerpb.NewRelayServer(relayServer(apply))
}

type relayServer func(Reading) uint64

// Tell implements bypeerpb.Relay.
func (s relayServer) Tell(_ context.Context, msg *bypeerpb.Reading) (*bypeerpb.Told, error) {
	r := Reading{
		Table: msg.GetTable(), From: msg.GetAfter(), Version: msg.GetVersion(),
		Age: time.Duration(msg.GetAgeUs()) * time.Microsecond,
	}
	for _, row := range msg.GetRows() {
		r.Changes = append(r.Changes, burdockyard.Change{
			Row:     burdockyard.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion()},
			Removed: row.GetRemoved(),
		})
	}
	return &bypeerpb.Told{Version: s(r)}, nil
}
