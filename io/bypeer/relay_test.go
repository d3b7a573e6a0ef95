package bypeer_test

import (
	"context"
	"errors"
	"net/http"
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
	srv := httptest.NewServer(bypeer.NewRelayHandler(bypeer.RelayHandler{
		Apply: func(r bypeer.TableReading) burdockyard.StoreVersion { got = r; return version(41) },
	}))
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

// TestReadDeliversReadingUnchanged also covers peers of releases that do not know the call, and
// peers without a copy: neither must look like a table without rows.
func TestReadDeliversReadingUnchanged(t *testing.T) {
	want := bypeer.TableReading{
		Table: "op", Version: version(42), Age: 70 * time.Millisecond,
		Changes: []burdockyard.Change{{Row: burdockyard.Row{Key: "op/config", Value: []byte("x"), Version: 41}}},
	}
	answers := map[string]bypeer.TableReading{"op": want, "empty": {Table: "empty"}}
	srv := httptest.NewServer(bypeer.NewRelayHandler(bypeer.RelayHandler{
		Read: func(table string, after burdockyard.StoreVersion) bypeer.TableReading {
			if after != version(40) {
				t.Errorf("asked for changes after %v, want %v", after, version(40))
			}
			return answers[table]
		},
	}))
	defer srv.Close()
	earlier := httptest.NewServer(http.NotFoundHandler())
	defer earlier.Close()
	read := func(srv *httptest.Server, table string) (bypeer.TableReading, error) {
		return bypeer.NewRelayClients().Read(context.Background(), strings.TrimPrefix(srv.URL, "http://"), table, version(40))
	}
	if got, err := read(srv, "op"); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v and error %v, want\n%+v", got, err, want)
	}
	if _, err := read(srv, "empty"); !errors.Is(err, burdockyard.ErrNotFound) {
		t.Errorf("reading from a node without a copy returned %v, want %v", err, burdockyard.ErrNotFound)
	}
	if _, err := read(earlier, "op"); err == nil {
		t.Error("reading from a node of an earlier release returned no error")
	}
}
