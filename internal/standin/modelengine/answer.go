package modelengine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// words are the vocabulary of the stand-in's answers.
var words = [...]string{
	"stone", "block", "slab", "quay", "freight", "rate", "lane", "crate",
	"cut", "saw", "lorry", "gate", "tonne", "metre", "order", "term",
	"price", "sheet", "berth", "port", "north", "south", "late", "early",
	"site", "yard", "scale", "weight", "week", "day", "hour", "due",
}

// finish reasons of the OpenAI wire format.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// Natural answers have between minNatural and minNatural+spanNatural-1 tokens.
const (
	minNatural  = 24
	spanNatural = 40
)

// Answer is the answer to one prompt. It depends on the prompt alone, so that
// any engine continues any stream and a recorded trace can state the answer.
type Answer struct {
	seed    uint64
	length  int
	natural int
}

// NewAnswer returns the answer to a prompt with at most maxTokens tokens.
func NewAnswer(prompt string, maxTokens int) Answer {
	seed := xxhash.Sum64String(prompt)
	natural := minNatural + int(seed%spanNatural)
	length := natural
	if maxTokens > 0 && maxTokens < natural {
		length = maxTokens
	}
	return Answer{seed: seed, length: length, natural: natural}
}

// Len returns the number of tokens.
func (a Answer) Len() int { return a.length }

// Token returns the i-th token, with its leading space.
func (a Answer) Token(i int) string {
	mixed := (a.seed + uint64(i)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	word := words[(mixed>>33)%uint64(len(words))]
	if i == 0 {
		return word
	}
	return " " + word
}

// FinishReason tells whether the answer ended by itself.
func (a Answer) FinishReason() string {
	if a.length < a.natural {
		return finishLength
	}
	return finishStop
}

// Text returns the whole answer.
func (a Answer) Text() string {
	var text strings.Builder
	for i := range a.length {
		text.WriteString(a.Token(i))
	}
	return text.String()
}
