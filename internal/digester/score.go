package digester

import "hash/fnv"

// Score returns a number by which the members of a set are ordered for a key, differently for
// each key (rendezvous hashing): the order of the others does not change when a member is
// added or removed.
func Score(key, member string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key + "\x00" + member)) // never returns an error
	// FNV gives similar sums for names that differ only in the last character, so the bits
	// are mixed.
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd

	return x ^ x>>33
}
