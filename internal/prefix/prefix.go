// Package prefix identifies the beginnings of prompts by a hash chain over
// blocks of fixed size, salted so that workspaces never share a block.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Tokens are estimated from bytes, since the tokenizer is the engine's own.
const (
	// BytesPerToken is the usual size of a token of European prose.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block.
	BlockTokens = 64
	blockBytes  = BlockTokens * BytesPerToken
)

// CountTokens estimates the number of tokens of a text.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Blocks returns the hash chain over the full blocks of a prompt: each hash
// covers the salt and everything up to the end of its block.
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
