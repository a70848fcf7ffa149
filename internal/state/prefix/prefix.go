// Package prefix computes the hashes that identify the blocks of a prompt, as the
// engines do in their cache events.
package prefix

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one block.
const BlockTokens = 16

// Tokens splits text into tokens.
func Tokens(text string) []string {
	return strings.Fields(text)
}

// Blocks returns one hash for each complete block. Each hash also covers all tokens
// before its block, so equal hashes mean equal prefixes.
func Blocks(tokens []string) []uint64 {
	blocks := make([]uint64, 0, len(tokens)/BlockTokens)
	hash := xxhash.New()
	for i, t := range tokens {
		_, _ = hash.WriteString(t)
		_, _ = hash.Write([]byte{0})
		if (i+1)%BlockTokens == 0 {
			blocks = append(blocks, hash.Sum64())
		}
	}
	return blocks
}
