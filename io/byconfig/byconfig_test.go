package byconfig_test

import (
	"strings"
	"testing"

	"burdockyard/io/byconfig"
)

const validManifest = `name: demo
models:
  - {name: quote, version: "1", prefill_rate: 20000, decode_rate: 200, max_streams: 32, max_prompt: 1000}
engines:
  - {name: q1, address: "10.0.0.1:9000", model: quote, domain: a, role: mixed, fencing: true}
services:
  - name: booking
    endpoints:
      - {name: b1, address: "10.0.0.2:9000", domain: a}
classes:
  - {name: short, first_token: 360ms, deadline: 10s, queue: 8}
tenants:
  - {name: jadepeak, weight: 1}
`

// expectProblems replaces old in the valid manifest and checks that parsing
// reports exactly the wanted problems.
func expectProblems(t *testing.T, old, replacement string, want ...string) {
	t.Helper()
	if !strings.Contains(validManifest, old) {
		t.Fatalf("the valid manifest does not contain %q", old)
	}
	_, err := byconfig.ParseManifest("f", []byte(strings.Replace(validManifest, old, replacement, 1)))
	got := ""
	if err != nil {
		got = err.Error()
	}
	if got != strings.Join(want, "\n") {
		t.Errorf("with %q instead of %q:\ngot  %s\nwant %s", replacement, old, got, strings.Join(want, "\n     "))
	}
}

func TestManifestProblems(t *testing.T) {
	expectProblems(t, "demo", "demo")
	expectProblems(t, "fencing: true", "fencing: maybe",
		`f:5:89: expected true or false, got "maybe"; write true or false`)
	expectProblems(t, "role: mixed", "role: both",
		`f:5:73: "both" is not allowed; use mixed, prefill, decode`)
	expectProblems(t, "model: quote", "model: qoute",
		`f:5:49: no model "qoute" is described; add it under models, or correct the name`)
	expectProblems(t, "prefill_rate: 20000", "prefill_rate: -1",
		`f:3:47: -1 is out of range; use 1 to 10000000`)
	expectProblems(t, "prefill_rate: 20000", "prefill_rate: fast",
		`f:3:47: expected a whole number, got "fast"; write digits, such as 32`)
	expectProblems(t, "prefill_rate: 20000", "prefil_rate: 20000",
		`f:3:5: prefill_rate is missing or wrong: 0 is out of range; use 1 to 10000000`,
		`f:3:33: unknown field "prefil_rate"; use one of adapters, decode_rate, max_prompt, max_streams, name, prefill_rate, version`)
	expectProblems(t, "name: b1", "name: q1",
		`f:9:16: "q1" is already the name of engines[0]; give each its own name`)
	expectProblems(t, "10.0.0.2:9000", "10.0.0.1:9000",
		`f:9:29: 10.0.0.1:9000 is already the address of engines[0]; give each endpoint its own address`)
	expectProblems(t, "10.0.0.2:9000", "booking.local:9000",
		`f:9:29: "booking.local:9000" is not an address; use an IP number and a port, such as 10.0.0.1:9000`)
	expectProblems(t, "first_token: 360ms", "first_token: 360",
		`f:11:32: expected a duration, got "360"; write a number with its unit, such as 360ms or 2s`)
	expectProblems(t, "first_token: 360ms", "first_token: 20s",
		`f:11:32: is longer than the deadline; make it shorter, or the deadline longer`)
	expectProblems(t, "weight: 1}", "weight: 1, weight: 2}",
		`f:13:33: field "weight" is duplicated; keep one of them`)
	expectProblems(t, "tenants:\n  - {name: jadepeak, weight: 1}\n", "tenants: []\n",
		`f:12:10: the list is empty; name at least one`)
	expectProblems(t, "name: demo", "name: [demo",
		`f:2:1: not YAML: [2:1] ',' or ']' must be specified; correct the syntax`)
	expectProblems(t, validManifest, "",
		`f:1:1: the file is empty; write a document into it`)
	expectProblems(t, validManifest, "42\n",
		`f:1:1: expected fields, got "42"; write name: value lines`)
}

// FuzzParseManifest looks for texts that crash the parser, or that it accepts
// although required values are missing.
func FuzzParseManifest(f *testing.F) {
	f.Add(validManifest)
	f.Add("a: &x [*x]")
	f.Add("name: !!int x\n<<: {a: b}")
	f.Fuzz(func(t *testing.T, text string) {
		spec, err := byconfig.ParseManifest("f", []byte(text))
		if err == nil && (spec.Name == "" || len(spec.Engines) == 0) {
			t.Errorf("accepted a manifest without a name or engines: %q", text)
		}
	})
}
