package imitator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of one token of the answer to a prompt. It depends
// only on its arguments, so that a test can check a whole answer.
func Token(prompt string, seq int64) string {
	sum := xxhash.Sum64String(prompt + "/" + strconv.FormatInt(seq, 10))

	return strconv.FormatUint(sum%46656, 36) + " "
}

// Answer returns the whole answer of the given length in tokens.
func Answer(prompt string, tokens int64) string {
	var b strings.Builder
	for seq := range tokens {
		b.WriteString(Token(prompt, seq))
	}

	return b.String()
}
