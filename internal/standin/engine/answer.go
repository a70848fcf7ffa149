package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the answer to prompt. It is the same on every
// engine, so that a caller can detect truncated and mixed-up answers.
func Token(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return "t" + strconv.FormatUint(sum%0xfffff, 36)
}
