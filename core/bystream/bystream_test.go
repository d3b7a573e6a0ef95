package bystream_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"burdockyard"
	"burdockyard/core/bystream"
)

func positions() *rapid.Generator[bystream.Position] {
	name := rapid.StringMatching(`[A-Za-z0-9._-]{0,20}`)
	return rapid.Custom(func(t *rapid.T) bystream.Position {
		return bystream.Position{
			Request: burdockyard.RequestID(name.Draw(t, "request")), Tenant: burdockyard.Tenant(name.Draw(t, "tenant")),
			Engine: burdockyard.EndpointID(name.Draw(t, "engine")), Incarnation: burdockyard.Incarnation(name.Draw(t, "incarnation")),
			Base: rapid.IntMin(0).Draw(t, "base"), Next: rapid.IntMin(0).Draw(t, "next"), Done: rapid.Bool().Draw(t, "done"),
		}
	})
}

// TestResumeTokenRejectsTampering checks that a resume token yields its position with
// the key that made it, that another key rejects it, and that a changed token never
// yields another position.
func TestResumeTokenRejectsTampering(t *testing.T) {
	s := bystream.NewTokenSigner([]byte("one key of sixteen"))
	other := bystream.NewTokenSigner([]byte("other key of sixteen"))
	rapid.Check(t, func(t *rapid.T) {
		p := positions().Draw(t, "position")
		token := s.AppendToken(nil, p)
		if got, err := s.Verify(string(token)); err != nil || got != p {
			t.Fatalf("got position %+v, error %v, want %+v", got, err, p)
		}
		if _, err := other.Verify(string(token)); !errors.Is(err, bystream.ErrInvalidToken) {
			t.Fatalf("with another key: got error %v, want an invalid token", err)
		}
		flipped := rapid.IntRange(0, len(token)-1).Draw(t, "changed")
		token[flipped] ^= 1
		if got, err := s.Verify(string(token)); err == nil && got != p {
			t.Fatalf("changed token: got position %+v, want an error or the original position", got)
		}
	})
}

func TestAssemblerDropsDuplicatesAndReportsGaps(t *testing.T) {
	a := bystream.NewAssembler(2, "a b ")
	for _, step := range []struct {
		token burdockyard.Token
		fresh bool
		err   error
	}{
		{burdockyard.Token{Index: 1, Text: "b "}, false, nil}, // already delivered
		{burdockyard.Token{Index: 2, Text: "c "}, true, nil},
		{burdockyard.Token{Index: 2, Text: "c "}, false, nil}, // duplicate
		{burdockyard.Token{Index: 4, Text: "e "}, false, burdockyard.ErrInterrupted},
		{burdockyard.Token{Index: 3, Text: "d ", FinishReason: "stop"}, true, nil},
		{burdockyard.Token{Index: 4, Text: "e "}, false, nil}, // after the end
	} {
		fresh, err := a.Add(step.token)
		if fresh != step.fresh || !errors.Is(err, step.err) {
			t.Errorf("Add(%+v) returned %t, %v, want %t, %v", step.token, fresh, err, step.fresh, step.err)
		}
	}
	if a.Text() != "a b c d " || a.NextIndex() != 4 || !a.IsComplete() {
		t.Errorf("got text %q, next index %d, complete %t, want \"a b c d \", 4, true", a.Text(), a.NextIndex(), a.IsComplete())
	}
}
