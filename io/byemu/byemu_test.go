package byemu_test

import (
	"testing"

	"burdockyard"
	"burdockyard/io/byemu"
)

// TestResumedAnswerHasSameWords checks that a completion resumed after any number of tokens
// continues with the same words. Tests that compare whole answers rely on it.
func TestResumedAnswerHasSameWords(t *testing.T) {
	whole := byemu.Answer("prompt", 20)
	for n := range 20 {
		first := byemu.Answer("prompt", n)
		if got := first + byemu.Answer("prompt"+first, 20-n); got != whole {
			t.Fatalf("answer resumed after %d tokens is %q, want %q", n, got, whole)
		}
	}
}

// TestEngineBatchingAndCache checks priorities, the limit on the batch size and the prefix cache.
func TestEngineBatchingAndCache(t *testing.T) {
	e := byemu.New(byemu.Config{PrefillRate: 1000, DecodeRate: 1000, MaxStreams: 2, CachePieces: 2, Role: burdockyard.RoleMixed})
	e.Add(&byemu.Stream{ID: "long", Prompt: 5000, Prefix: []uint64{1}, Output: 2})
	e.Add(&byemu.Stream{ID: "short", Prompt: 100, Output: 2, Priority: 1})
	e.Add(&byemu.Stream{ID: "waiting", Prompt: 100, Output: 1})
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
	e.Add(&byemu.Stream{ID: "again", Prompt: 5000, Prefix: []uint64{1}, Output: 1})
	if got := e.PrefillTokens(); got != 5000-4096 {
		t.Errorf("%d prompt tokens left to process with one cached block, want 904 (5000-4096)", got)
	}
}
