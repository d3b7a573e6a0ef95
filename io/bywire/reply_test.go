package bywire_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"burdockyard/io/bywire"
	"burdockyard/platform/bystub"
)

// TestBrokenReplyIsAnError checks that a client returns no reply that is malformed, and none of
// which a reset has cut off a part.
func TestBrokenReplyIsAnError(t *testing.T) {
	const upload = 8 << 20
	reply := func(status, header, body string) string {
		return "HTTP/1.1 " + status + "\r\n" + header + "\r\n" + body
	}
	const length, chunked, chunks = "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "4\r\ndata\r\n0\r\n"
	tests := []struct {
		name  string
		reply string
		end   bystub.RawEnd
		size  int // of the request body, in bytes
		sound bool
	}{
		{"reset while uploading", reply("200 OK", "", "data"), bystub.RawReset, upload, false},
		{"closed with the upload unread", reply("200 OK", "", "data"), bystub.RawCloseUnread, upload, false},
		{"failure, reset while uploading", reply("500 Internal Server Error", "", "data"), bystub.RawReset, upload, false},
		{"closed, and the upload never read", reply("200 OK", "", "data"), bystub.RawStall, 32 << 20, false},
		{"reset after a short request", reply("200 OK", "", "data"), bystub.RawReset, 100, false},
		{"upload read, then closed", reply("200 OK", "", "data"), bystub.RawClose, upload, true},
		{"no upload", reply("200 OK", "", "data"), bystub.RawClose, 0, true},
		{"status 000", reply("000 X", length, "data"), bystub.RawKeep, 1, false},
		{"status 000 without a body", reply("000 X", "Content-Length: 0\r\n", ""), bystub.RawKeep, 1, false},
		{"status 101", reply("101 Switching Protocols", "", "data"), bystub.RawKeep, 1, false},
		{"status 600", reply("600 X", length, "data"), bystub.RawKeep, 1, false},
		{"status +20", reply("+20 X", length, "data"), bystub.RawKeep, 1, false},
		{"interim reply", reply("103 Early Hints", "", "") + reply("200 OK", length, "data"), bystub.RawKeep, 1, true},
		{"blank in a name", reply("200 OK", "Content-Length : 4\r\n", "data"), bystub.RawClose, 1, false},
		{"blank in a name of an interim reply", reply("103 Early Hints", "X : 1\r\n", "") + reply("200 OK", length, "data"), bystub.RawKeep, 1, false},
		{"blank in a name of a trailer", reply("200 OK", chunked, chunks+"X : 1\r\n\r\n"), bystub.RawKeep, 1, false},
		{"control byte in a name", reply("200 OK", "X\x01: 1\r\n"+length, "data"), bystub.RawKeep, 1, false},
		{"trailer", reply("200 OK", chunked, chunks+"X: 1\r\n\r\n"), bystub.RawKeep, 1, true},
	}
	for client, c := range map[string]*http.Client{"pooled": bywire.NewClient(), "unpooled": bywire.NewUnpooledClient()} {
		for _, tt := range tests {
			t.Run(tt.name+"/"+client, func(t *testing.T) {
				t.Parallel()
				s, err := bystub.ListenRaw(tt.reply, tt.end)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				wrong, repetitions := 0, 20
				if tt.end == bystub.RawStall {
					repetitions = 2
				}
				for range repetitions {
					resp, err := c.Post("http://"+s.Addr(), "text/plain", bytes.NewReader(make([]byte, tt.size)))
					var data []byte
					if err == nil {
						data, err = io.ReadAll(resp.Body)
						if _, again := resp.Body.Read(make([]byte, 1)); (err == nil) != errors.Is(again, io.EOF) {
							t.Errorf("reading once more gives error %v, after error %v", again, err)
						}
						resp.Body.Close()
					}
					if (err == nil) != tt.sound || tt.sound && string(data) != "data" {
						wrong++
						t.Logf("the reply is %q with error %v", data, err)
					}
				}
				if wrong > 0 {
					t.Errorf("%d of %d replies are taken wrongly, want an error for broken ones only", wrong, repetitions)
				}
			})
		}
	}
}

// TestMalformedReplyClosesConnection guards against the failure that a connection is used again
// on which a malformed reply came.
func TestMalformedReplyClosesConnection(t *testing.T) {
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\nX : 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX : 1\r\n\r\n",
	} {
		s, err := bystub.ListenRaw(reply, bystub.RawKeep)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		const requests = 5
		c := bywire.NewClient()
		for range requests {
			resp, err := c.Post("http://"+s.Addr(), "text/plain", strings.NewReader("x"))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if !errors.Is(err, bywire.ErrMalformedReply) {
				t.Errorf("the reply %q gives error %v, want ErrMalformedReply", reply, err)
			}
		}
		if n := s.Conns(); n != requests {
			t.Errorf("%d requests after the reply %q used %d connections, want one each", requests, reply, n)
		}
	}
}
