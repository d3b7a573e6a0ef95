package byentry

import (
	"net/http"
	"testing"

	"burdockyard"
)

// TestRequestHash checks that attempts of one request have one hash, and that requests
// which endpoints can tell apart, or of other callers, have another one.
func TestRequestHash(t *testing.T) {
	newCall := func(change func(*call)) *call {
		c := &call{path: "/quick/1?q=2", body: []byte("ab"), r: &http.Request{Method: "POST", Host: "h.example", Header: http.Header{
			"X-Request-Id": {"r1"}, "X-Deadline-Ms": {"3000"}, "Authorization": {"Bearer a"},
		}}}
		c.info.Prompt = &burdockyard.Prompt{Model: "m", InputTokens: 300, Parts: []burdockyard.PromptPart{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 200}}}
		change(c)
		return c
	}
	original := requestHash(newCall(func(*call) {}))
	for _, tt := range []struct {
		name   string
		same   bool
		change func(*call)
	}{
		{"another attempt", true, func(c *call) {
			c.r.Header.Set("X-Request-Id", "r2")
			c.r.Header.Set("X-Deadline-Ms", "900")
			c.r.RemoteAddr = "10.0.0.9:1234"
		}},
		{"another method", false, func(c *call) { c.r.Method = "PUT" }},
		{"another host", false, func(c *call) { c.r.Host = "g.example" }},
		{"another query", false, func(c *call) { c.path = "/quick/1?q=3" }},
		{"another caller", false, func(c *call) { c.r.Header.Set("Authorization", "Bearer b") }},
		{"another key", false, func(c *call) { c.r.Header.Set("X-Api-Key", "k1") }},
		{"another workspace", false, func(c *call) { c.checksKeys, c.workspace = true, &burdockyard.Workspace{Name: "north"} }},
		{"another key, which endpoints do not get", true, func(c *call) {
			c.r.Header.Set("X-Api-Key", "k1")
			c.checksKeys = true
		}},
		{"another body", false, func(c *call) { c.body = []byte("ac") }},
		{"a part of the body in the path", false, func(c *call) { c.path, c.body = c.path+"a", []byte("b") }},
		{"another last part", false, func(c *call) { c.info.Prompt.Parts[1].ID = 3 }},
		{"no prompt", false, func(c *call) { c.info.Prompt = nil }},
	} {
		if got := requestHash(newCall(tt.change)) == original; got != tt.same {
			t.Errorf("%s: same hash %v, want %v", tt.name, got, tt.same)
		}
	}
}
