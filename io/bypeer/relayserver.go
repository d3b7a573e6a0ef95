package bypeer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"burdockyard"
	"burdockyard/core/bypatch"
	"burdockyard/io/bypeer/bypeerpb"
)

// RelayHandler is what a node does with the relay calls of other nodes.
type RelayHandler struct {
	// Apply applies a reading, and returns the version of the table that the node has
	// afterwards.
	Apply func(TableReading) burdockyard.StoreVersion
	// Read returns what the node has read of a table that a copy of the given version lacks.
	// Its Version is zero if the node has no copy.
	Read func(table string, after burdockyard.StoreVersion) TableReading
	// Values returns the values that the node has of a row, the newest first, as bases of patches.
	Values func(table, key string) []burdockyard.Row
}

// NewRelayHandler returns a handler for the relay calls of other nodes.
func NewRelayHandler(h RelayHandler) http.Handler {
	server := bypeerpb.NewRelayServer(relayServer{h})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, time.Now())))
	})
}

type relayServer struct{ handler RelayHandler }

// arrivalKey is the key of the context value that tells when the head of a call arrived.
type arrivalKey struct{}

// transferTime returns how long the body of a call has taken since its head arrived. A reading has
// grown older by as much.
func transferTime(ctx context.Context) time.Duration {
	at, ok := ctx.Value(arrivalKey{}).(time.Time)
	if !ok {
		return 0
	}
	return time.Since(at)
}

// Tell implements bypeerpb.Relay.
func (s relayServer) Tell(ctx context.Context, msg *bypeerpb.Reading) (*bypeerpb.Told, error) {
	r := readingFromProto(msg)
	r.Age += transferTime(ctx)
	v := s.handler.Apply(r)
	return &bypeerpb.Told{Version: v.Number, Era: v.Era}, nil
}

// Read implements bypeerpb.Relay.
func (s relayServer) Read(_ context.Context, msg *bypeerpb.ReadRequest) (*bypeerpb.Reading, error) {
	return readingToProto(s.handler.Read(msg.GetTable(), burdockyard.StoreVersion{Era: msg.GetEra(), Number: msg.GetAfter()})), nil
}

// TellPacked implements bypeerpb.Relay.
func (s relayServer) TellPacked(ctx context.Context, msg *bypeerpb.PackedReading) (*bypeerpb.Told, error) {
	rows := s.values(msg.GetTable(), msg.GetBaseKey())
	bases := make([][]byte, 0, len(rows))
	for _, r := range rows {
		bases = append(bases, r.Value)
	}
	reading, err := unpack(msg, bases)
	if errors.Is(err, bypatch.ErrBaseUnknown) {
		told := &bypeerpb.Told{LacksBase: true}
		if len(rows) > 0 {
			told.BaseVersion = rows[0].Version
		}
		return told, nil
	}
	if err != nil || reading.GetVersion() == 0 {
		return nil, twirp.InvalidArgumentError("patch", fmt.Sprintf("leads to no reading of table %q: %v", msg.GetTable(), err))
	}
	r := readingFromProto(reading)
	r.Table = msg.GetTable()
	r.Age += transferTime(ctx)
	v := s.handler.Apply(r)
	return &bypeerpb.Told{Version: v.Number, Era: v.Era}, nil
}

// ReadPacked implements bypeerpb.Relay.
func (s relayServer) ReadPacked(_ context.Context, msg *bypeerpb.ReadRequest) (*bypeerpb.PackedReading, error) {
	r := s.handler.Read(msg.GetTable(), burdockyard.StoreVersion{Era: msg.GetEra(), Number: msg.GetAfter()})
	reply := &bypeerpb.PackedReading{Table: r.Table, AgeUs: r.Age.Microseconds()}
	if r.Version.Number == 0 {
		return reply, nil
	}
	if NewParcel(r, "", nil, 0).isSmall() {
		reply.Reading = readingToProto(r)
		return reply, nil
	}
	var base uint64
	var rows []burdockyard.Row
	if msg.GetBaseKey() != "" && msg.GetEra() == r.Version.Era {
		reply.BaseKey, base = msg.GetBaseKey(), msg.GetBaseVersion()
		rows = s.values(msg.GetTable(), msg.GetBaseKey())
	}
	var err error
	reply.Patch, err = NewParcel(r, reply.BaseKey, rows, base).patch(base)
	return reply, err
}

func (s relayServer) values(table, key string) []burdockyard.Row {
	if key == "" || s.handler.Values == nil {
		return nil
	}
	return s.handler.Values(table, key)
}
