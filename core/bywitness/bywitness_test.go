package bywitness_test

import (
	"math/rand/v2"
	"testing"

	"burdockyard"
	"burdockyard/core/bymember"
	"burdockyard/core/bywitness"
)

// TestRefusalAloneIsNoProof guards against endpoints that count as ended because the links
// of this node, or of a witness, have failed.
func TestRefusalAloneIsNoProof(t *testing.T) {
	const (
		noAnswer, refused, accepted = bywitness.NoAnswer, bywitness.Refused, bywitness.Accepted
		unproved, ended, alive      = bywitness.Unproved, bywitness.Ended, bywitness.Alive
	)
	for _, tt := range []struct {
		endpoint bywitness.Connection
		others   []bywitness.Connection
		want     bywitness.Finding
	}{
		{accepted, []bywitness.Connection{refused}, alive},
		{noAnswer, []bywitness.Connection{accepted}, unproved},
		{refused, []bywitness.Connection{refused, noAnswer}, unproved},
		{refused, []bywitness.Connection{refused, accepted}, ended},
		{refused, nil, ended},
	} {
		if got := bywitness.Find(tt.endpoint, tt.others); got != tt.want {
			t.Errorf("Find(%v, %v) = %v, want %v", tt.endpoint, tt.others, got, tt.want)
		}
	}
	for _, tt := range []struct {
		own      bywitness.Connection
		findings []bywitness.Finding
		want     bool
	}{
		{refused, nil, false},
		{refused, []bywitness.Finding{unproved, unproved}, false},
		{refused, []bywitness.Finding{unproved, ended}, true},
		{refused, []bywitness.Finding{ended, alive}, false},
		{noAnswer, []bywitness.Finding{ended, ended}, false},
		{accepted, []bywitness.Finding{ended, ended}, false},
	} {
		if got := bywitness.HasEnded(tt.own, tt.findings); got != tt.want {
			t.Errorf("HasEnded(%v, %v) = %v, want %v", tt.own, tt.findings, got, tt.want)
		}
	}
}

// TestWitnessesAreOfOtherDomains guards against witnesses that lose their links together
// with this node, and against peers that cannot tell.
func TestWitnessesAreOfOtherDomains(t *testing.T) {
	peer := func(id, domain string, ready, leaving bool) bymember.Heartbeat {
		return bymember.Heartbeat{Member: burdockyard.Member{Node: burdockyard.NodeID(id)}, Domain: domain, Ready: ready, Leaving: leaving}
	}
	all := []bymember.Heartbeat{peer("a1", "a", true, false), peer("a2", "a", true, false), peer("b1", "b", true, false), peer("b2", "b", true, false),
		peer("c1", "c", true, false), peer("d1", "d", false, false), peer("e1", "e", true, true)}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		got := bywitness.Select(all, "a", 2, rng.Shuffle)
		if len(got) != 2 || got[0].Domain == got[1].Domain || got[0].Domain == "a" || got[1].Domain == "a" || !got[0].Ready || got[0].Leaving || !got[1].Ready || got[1].Leaving {
			t.Fatalf("seed %d: got witnesses %+v, want one of domain b and one of c", seed, got)
		}
		if got := bywitness.Select(all[:3], "a", 2, rng.Shuffle); len(got) != 2 || got[0].Domain != "b" || got[1].Domain != "a" {
			t.Fatalf("seed %d: got witnesses %+v, want one of domain b, then one of a", seed, got)
		}
	}
}

// TestReportSaysWhyAnEndIsUnproved guards against log lines that do not tell a witness whose
// links have failed from one whose neighbours of the endpoint are down, or from an earlier release.
func TestReportSaysWhyAnEndIsUnproved(t *testing.T) {
	for _, tt := range []struct {
		report bywitness.Report
		want   string
	}{
		{bywitness.Report{Finding: bywitness.Alive, Connection: bywitness.Accepted}, "alive (accepted)"},
		{bywitness.Report{Connection: bywitness.Refused, Others: []bywitness.Probe{{Endpoint: "i-1", Result: bywitness.Refused}, {Endpoint: "i-2", Result: bywitness.NoAnswer}}}, "unproved (refused; i-1 refused, i-2 no answer)"},
		{bywitness.Report{Finding: bywitness.Ended, Connection: bywitness.NotTold}, "ended"},
	} {
		if got := tt.report.String(); got != tt.want {
			t.Errorf("%+v is written as %q, want %q", tt.report, got, tt.want)
		}
	}
}
