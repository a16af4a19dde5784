// Package digester makes digests that identify a request which is sent again.
package digester

import (
	"crypto/sha256"
	"encoding/hex"
)

// size is the number of bytes of a digest: enough that two requests never share one.
const size = 16

// Sum returns the digest of the parts in hexadecimal. Each part is preceded by its
// length, so that parts cannot run into each other.
func Sum(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		for i := range length {
			length[i] = byte(len(part) >> (8 * i))
		}
		h.Write(length[:])
		h.Write([]byte(part))
	}

	return hex.EncodeToString(h.Sum(nil)[:size])
}
