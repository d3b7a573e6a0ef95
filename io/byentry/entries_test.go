package byentry_test

import (
	"fmt"
	"strings"
	"testing"

	"burdockyard/platform/bystub"
)

// TestListWithOddEntriesIsFollowed guards against the failure that a node ends, or follows
// the list of endpoints no longer, once another writer has left odd entries in it.
func TestListWithOddEntriesIsFollowed(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.publishConfig(3, nil)
	const entry = `{"service":"app","address":%q,"zone":"a","slots":%s,"state":"ready","sequence":1,"more":%s}`
	for i, odd := range []string{
		fmt.Sprintf(entry, "127.0.0.1:65536", "4", "0"),
		fmt.Sprintf(entry, "127.0.0.1:0", "4", "0"),
		fmt.Sprintf(entry, "127.0.0.1:1", "1e400", "0"),
		fmt.Sprintf(entry, "127.0.0.1:1", "9223372036854775807", "0"),
		fmt.Sprintf(entry, "127.0.0.1:1", "4", strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)),
		strings.Repeat("[", 65_000),
		"\xff\x00",
		"",
	} {
		c.store.Set("servers", fmt.Sprint("a-odd-", i), []byte(odd))
	}
	c.store.Set("servers", "a-odd\r\nX-Evil: 1", fmt.Appendf(nil, entry, "127.0.0.1:1", "4", "0"))
	c.store.Set("servers", "", fmt.Appendf(nil, entry, "127.0.0.1:1", "4", "0"))
	c.addRunner(bystub.RunnerConfig{ID: "app-1", Service: "app", Zone: "a"})
	n := c.startNode("n1")
	c.waitReady(n)
	for range 10 {
		if got := n.call("POST", "/book/1", "x"); got.status != 200 {
			t.Errorf("got response %+v, want status 200", got)
		}
	}
	late := c.addRunner(bystub.RunnerConfig{ID: "app-2", Service: "app", Zone: "a"})
	c.setRunnerState("app-1", "draining", 2)
	c.waitUntil("an endpoint that registers later gets requests", func() bool { n.call("GET", "/read/1", ""); return len(late.Runs()) > 0 })
	if strings.Contains(c.logs.String(), "send failed") {
		t.Error("a request was sent to an odd entry, want none")
	}
	for i := range 8 {
		lines := 0
		for line := range strings.Lines(c.logs.String()) {
			if strings.Contains(line, "entry names no endpoint") && strings.Contains(line, fmt.Sprintf(`"servers/a-odd-%d"`, i)) {
				lines++
			}
		}
		if lines != 1 {
			t.Errorf("the log has %d lines on odd entry %d, want 1", lines, i)
		}
	}
}
