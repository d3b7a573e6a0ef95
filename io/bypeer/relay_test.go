package bypeer_test

import (
	"context"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/io/bypeer"
)

func TestRelayDeliversReadingUnchanged(t *testing.T) {
	var got bypeer.TableReading
	srv := httptest.NewServer(bypeer.NewRelayHandler(func(r bypeer.TableReading) uint64 { got = r; return 41 }))
	defer srv.Close()
	want := bypeer.TableReading{
		Table: "servers", ChangedSince: 40, Version: 42, Age: 70 * time.Millisecond,
		Changes: []burdockyard.Change{
			{Row: burdockyard.Row{Key: "servers/i-1", Value: []byte("x"), Version: 41}},
			{Row: burdockyard.Row{Key: "servers/i-2", Version: 42}, Removed: true},
		},
	}
	version, err := bypeer.NewRelayClients().SendReading(context.Background(), strings.TrimPrefix(srv.URL, "http://"), want)
	if err != nil || version != 41 || !reflect.DeepEqual(got, want) {
		t.Errorf("relay returned version %d, error %v and delivered\n%+v\nwant version 41, no error and\n%+v", version, err, got, want)
	}
}
