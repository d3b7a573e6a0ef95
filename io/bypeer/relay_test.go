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

func version(number uint64) burdockyard.StoreVersion {
	return burdockyard.StoreVersion{Era: 3, Number: number}
}

func TestRelayDeliversReadingUnchanged(t *testing.T) {
	var got bypeer.TableReading
	srv := httptest.NewServer(bypeer.NewRelayHandler(func(r bypeer.TableReading) burdockyard.StoreVersion { got = r; return version(41) }))
	defer srv.Close()
	want := bypeer.TableReading{
		Table: "servers", ChangedSince: version(40), Version: version(42), Age: 70 * time.Millisecond,
		Changes: []burdockyard.Change{
			{Row: burdockyard.Row{Key: "servers/i-1", Value: []byte("x"), Version: 41}},
			{Row: burdockyard.Row{Key: "servers/i-2", Version: 42}, Removed: true},
		},
	}
	told, err := bypeer.NewRelayClients().SendReading(context.Background(), strings.TrimPrefix(srv.URL, "http://"), want)
	if err != nil || told != version(41) || !reflect.DeepEqual(got, want) {
		t.Errorf("relay returned version %v, error %v and delivered\n%+v\nwant version 41, no error and\n%+v", told, err, got, want)
	}
}
