// Package prefix identifies prefixes of prompts by a hash chain over blocks of fixed size. The
// chain is salted so that workspaces never share a block.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Tokens are estimated from bytes, because the tokenizer is specific to the engine.
const (
	// BytesPerToken is the average size of a token in European prose.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	blockBytes  = BlockTokens * BytesPerToken
)

// CountTokens estimates the number of tokens of a text, rounded up.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Blocks returns the hash chain over the full blocks of a prompt. Each hash covers the salt and the
// prompt up to the end of its block; a partial last block is ignored.
func Blocks(salt, prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	previous := xxhash.Sum64String(salt)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		var buffer [8 + blockBytes]byte
		binary.LittleEndian.PutUint64(buffer[:8], previous)
		copy(buffer[8:], prompt[start:start+blockBytes])
		previous = xxhash.Sum64(buffer[:])
		hashes = append(hashes, previous)
	}
	return hashes
}
