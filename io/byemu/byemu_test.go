package byemu_test

import (
	"testing"

	"burdockyard"
	"burdockyard/io/byemu"
)

// TestResumedAnswerHasSameWords checks that a completion resumed after any number
// of tokens continues with the same words. Tests that compare whole answers rely on
// it.
func TestResumedAnswerHasSameWords(t *testing.T) {
	whole := byemu.GenerateText("prompt", 20)
	for n := range 20 {
		first := byemu.GenerateText("prompt", n)
		if got := first + byemu.GenerateText("prompt"+first, 20-n); got != whole {
			t.Fatalf("answer resumed after %d tokens is %q, want %q", n, got, whole)
		}
	}
}

// TestEngineBatchingAndCache checks priorities, the limit on the batch size and the
// prefix cache.
func TestEngineBatchingAndCache(t *testing.T) {
	e := byemu.New(byemu.Config{PrefillRate: 1000, DecodeRate: 1000, MaxStreams: 2, CacheBlocks: 2, Role: burdockyard.RoleMixed})
	e.Add(&byemu.Stream{ID: "long", PromptTokens: 5000, PrefixHashes: []uint64{1}, OutputTokens: 2})
	e.Add(&byemu.Stream{ID: "short", PromptTokens: 100, OutputTokens: 2, Priority: 1})
	e.Add(&byemu.Stream{ID: "waiting", PromptTokens: 100, OutputTokens: 1})
	var order []string
	for {
		d, produced := e.Iterate()
		if d == 0 {
			break
		}
		for _, s := range produced {
			order = append(order, s.ID)
		}
	}
	// The waiting stream enters the batch when the short one ends, and its prompt is
	// processed after that of the long stream, which arrived before it.
	want := []string{"short", "short", "long", "waiting", "long"}
	for i := range want {
		if i >= len(order) || order[i] != want[i] {
			t.Fatalf("streams got their tokens in the order %q, want %q", order, want)
		}
	}
	e.Add(&byemu.Stream{ID: "again", PromptTokens: 5000, PrefixHashes: []uint64{1}, OutputTokens: 1})
	if got := e.PendingPrefillTokens(); got != 5000-4096 {
		t.Errorf("%d prompt tokens left to process with one cached block, want 904 (5000-4096)", got)
	}
}
