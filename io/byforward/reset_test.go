package byforward_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/io/byforward"
	"burdockyard/io/bywire"
	"burdockyard/platform/bystub"
)

// listenRaw starts a bystub.RawServer that ends with the test, and returns its address.
func listenRaw(t *testing.T, text string, end bystub.RawEnd) string {
	t.Helper()
	s, err := bystub.ListenRaw(text, end)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s.Addr()
}

// TestResetWhileUploadingIsNoEnd guards against the failure that a response whose end is that
// of its connection counts as complete after a reset, because the kernel has reported the
// reset to the goroutine that writes the body of the request.
func TestResetWhileUploadingIsNoEnd(t *testing.T) {
	const repetitions, upload = 20, 8 << 20
	failure := strings.Replace(untilClose, "200 OK", "500 Internal Server Error", 1)
	tests := []struct {
		name     string
		response string
		end      bystub.RawEnd
		size     int // of the body of the request, in bytes
		want     error
	}{
		{"reset", untilClose, bystub.RawReset, upload, burdockyard.ErrInterrupted},
		{"closed with the upload unread", untilClose, bystub.RawCloseUnread, upload, burdockyard.ErrInterrupted},
		{"reset, short upload", untilClose, bystub.RawReset, 200 << 10, burdockyard.ErrInterrupted},
		{"reset, upload just longer than is written inline", untilClose, bystub.RawReset, 9 << 10, burdockyard.ErrInterrupted},
		{"reset, upload that is written inline", untilClose, bystub.RawReset, 100, burdockyard.ErrInterrupted},
		{"failure, reset", failure, bystub.RawReset, upload, burdockyard.ErrInterrupted},
		{"with a length, then reset", withLength, bystub.RawReset, upload, nil},
		{"in chunks, then reset", chunked, bystub.RawReset, upload, nil},
		{"upload read, then closed", untilClose, bystub.RawClose, upload, nil},
		{"half closed, then upload read", untilClose, bystub.RawHalfClose, upload, nil},
		{"no upload", untilClose, bystub.RawClose, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			addr, f := listenRaw(t, tt.response, tt.end), newForwarder()
			wrong := 0
			for range repetitions {
				if _, body, err := send(f, addr, "r1", make([]byte, tt.size)); !errors.Is(err, tt.want) || err == nil && body != "data" {
					wrong++
					t.Logf("response body is %q with error %v", body, err)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses are taken wrongly, want error %v for all of them", wrong, repetitions, tt.want)
			}
			if n := f.OpenConns(); n != 0 {
				t.Errorf("%d connections are kept, want none", n)
			}
		})
	}
}

// TestDiscardDoesNotWaitForUpload guards against the failure that discarding a refusal whose
// end is that of its connection waits until the whole request has been written.
func TestDiscardDoesNotWaitForUpload(t *testing.T) {
	refusal := strings.Replace(untilClose, "200 OK", "503 Service Unavailable", 1)
	resp, err := newForwarder().Send(context.Background(), byforward.Target{Addr: listenRaw(t, refusal, bystub.RawStall), MaxConns: 1}, &byforward.Request{
		ID: "a", Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{"X-Request-Id": {"a"}}, Body: make([]byte, 32<<20), Deadline: time.Now().Add(2 * time.Second),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	start := time.Now()
	if err := resp.Discard(64<<10, 50*time.Millisecond); !errors.Is(err, bywire.ErrRequestCutOff) {
		t.Errorf("got error %v of a response that came before the request was written, want ErrRequestCutOff", err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("discarding took %v, want at most 1 s", took)
	}
}
