package byemu

import "hash/fnv"

// vocabulary lists the words of the emulated model. Each word is one token.
var vocabulary = []string{
	"moss ", "slate ", "tile ", "gutter ", "ridge ", "valley ", "ladder ", "rain ",
	"bed ", "soil ", "mulch ", "fern ", "sedge ", "maple ", "stone ", "path ",
	"clay ", "lime ", "north ", "south ", "dry ", "damp ", "steep ", "flat ",
	"quote ", "crew ", "van ", "crate ", "plan ", "yard ", "eave ", "shade. ",
}

// TokenGenerator generates the tokens of an emulated model. As with a real model,
// each token depends on all the text before it, so that a completion that is
// resumed from the prompt and the answer so far continues with the same words.
type TokenGenerator struct{ hash uint64 }

// NewTokenGenerator returns a generator of the tokens that follow text.
func NewTokenGenerator(text string) *TokenGenerator {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash.Hash never returns an error
	return &TokenGenerator{hash: h.Sum64()}
}

// Next returns the next token and adds it to the text that later tokens depend on.
func (g *TokenGenerator) Next() string {
	const fnvPrime = 1099511628211
	mixed := g.hash ^ g.hash>>32
	word := vocabulary[mixed%uint64(len(vocabulary))]
	for _, b := range []byte(word) {
		g.hash ^= uint64(b)
		g.hash *= fnvPrime
	}
	return word
}

// GenerateText returns the first n tokens that follow text.
func GenerateText(text string, n int) string {
	g := NewTokenGenerator(text)
	answer := ""
	for range n {
		answer += g.Next()
	}
	return answer
}
