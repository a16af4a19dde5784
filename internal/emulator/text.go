package emulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the text of the token number seq of the answer to a prompt. The
// result depends only on the arguments, so that a test can check a whole answer.
func Token(prompt string, seq int64) string {
	sum := xxhash.Sum64String(prompt + "/" + strconv.FormatInt(seq, 10))

	return strconv.FormatUint(sum%46656, 36) + " "
}

// Answer returns the first tokens of the answer to a prompt, joined.
func Answer(prompt string, tokens int64) string {
	var b strings.Builder
	for seq := range tokens {
		b.WriteString(Token(prompt, seq))
	}

	return b.String()
}
