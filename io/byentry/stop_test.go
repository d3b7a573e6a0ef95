package byentry_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockyard/platform/bystub"
)

// lostTime is the time within which a connection may end without a response if the node
// has not read the request, as the users state it.
const lostTime = 200 * time.Millisecond

// TestStoppingNodeCutsNoResponse stops a node under load. Callers that still use its
// address get either a complete response or a refusal that tells them to come back, and
// none of the refused requests has run.
func TestStoppingNodeCutsNoResponse(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name, path  string
		serviceTime time.Duration
		header      []string
	}{
		{"quick calls", "/book/1", 20 * time.Millisecond, nil},
		{"calls as long as their deadline", "/book/1", 1500 * time.Millisecond, nil},
		{"streams", "/long/1", 900 * time.Millisecond, []string{longPrompt, longTokens, "X-Deadline-Ms: 5000"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.grace = 6 * time.Second
			c.publishConfig(3, nil)
			c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a", ServiceTime: tt.serviceTime})
			c.addRunner(bystub.RunnerConfig{ID: "llm-1", Service: "llm", Zone: "a", Stage: "decode", EventsPerStream: 3, EventInterval: tt.serviceTime})
			n := c.startNode("n1")
			c.waitReady(n)
			ended := make(chan struct{})
			time.AfterFunc(300*time.Millisecond, func() {
				n.stop()
				_ = n.group.Wait() // reported at the end of the test
				close(ended)
			})
			var mu sync.Mutex
			statuses, refused, unread := map[int]int{}, map[string]bool{}, []string{}
			var callers sync.WaitGroup
			for i := range 4 {
				callers.Go(func() {
					for j := 0; ; j++ {
						select {
						case <-ended:
							return
						default:
						}
						id := fmt.Sprintf("%s-%d-%d", tt.name, i, j)
						sentAt := time.Now()
						got := n.callWithID(id, "POST", tt.path, "x", tt.header...)
						mu.Lock()
						switch {
						case got.err != nil && got.status == 0 && time.Since(sentAt) < lostTime:
							unread = append(unread, id) // the connection was not accepted, or closed before the node read the request
						case got.err != nil || got.status != 200 && got.status != 503:
							t.Errorf("request %s got response %+v after %v, want a complete response or status 503", id, got, time.Since(sentAt))
						case got.status == 503 && (got.header.Get("Retry-After") == "" || !got.closesConnection):
							t.Errorf("request %s got response %+v, want Retry-After and a closed connection", id, got)
						case got.status == 503:
							refused[id] = true
							fallthrough
						default:
							statuses[got.status]++
						}
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			for _, r := range c.runners {
				for _, run := range r.Runs() {
					if refused[run.ID] {
						t.Errorf("request %s has run, want it not run since it was refused", run.ID)
					}
					if slices.Contains(unread, run.ID) {
						t.Errorf("request %s has run, want a response", run.ID)
					}
				}
			}
			for _, id := range unread {
				if strings.Contains(c.logs.String(), `"`+id+`"`) {
					t.Errorf("request %s got no response, want one since the node has read it", id)
				}
			}
			if statuses[200] == 0 {
				t.Errorf("got statuses %v, want some requests served", statuses)
			}
			t.Logf("statuses: %v", statuses)
		})
	}
}
