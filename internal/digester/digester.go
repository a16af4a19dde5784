// Package digester computes digests that identify repeated requests.
package digester

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// digestSize is the number of bytes of a digest. 128 bits make a collision of two requests
// practically impossible.
const digestSize = 16

// Sum returns the digest of the parts in hexadecimal. Each part is hashed with its length,
// so that different lists of parts with the same concatenation have different digests.
func Sum(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, []byte(part))
	}

	return hex.EncodeToString(h.Sum(nil)[:digestSize])
}

// SumBody is like Sum with the body as the last part, which it does not copy.
func SumBody(body []byte, parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, []byte(part))
	}
	writePart(h, body)

	return hex.EncodeToString(h.Sum(nil)[:digestSize])
}

func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	for i := range length {
		length[i] = byte(len(part) >> (8 * i))
	}
	h.Write(length[:])
	h.Write(part)
}

// Segment returns the name under which a segment of prompts is known where digests of
// requests are expected too. It differs from all digests.
func Segment(id string) string { return "segment:" + id }
