// Package verifier finds the owner of a key by the key's hash. The keys themselves are
// not kept.
package verifier

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Digest is the hash of a key.
type Digest [sha256.Size]byte

// Sum returns the digest of a key.
func Sum(key string) Digest { return sha256.Sum256([]byte(key)) }

// groupBytes is the length of the prefix by which digests are grouped. With four bytes, a
// group of thousands of keys rarely has more than one.
const groupBytes = 4

// Index maps keys to owners. It is not safe for concurrent changes.
type Index[Owner any] struct {
	groups map[[groupBytes]byte][]entry[Owner]
}

type entry[Owner any] struct {
	digest Digest
	owner  Owner
}

// New returns an index without keys.
func New[Owner any]() *Index[Owner] {
	return &Index[Owner]{groups: map[[groupBytes]byte][]entry[Owner]{}}
}

// Add adds a key by its digest. It returns the present owner and false if the key has one.
func (x *Index[Owner]) Add(digest Digest, owner Owner) (Owner, bool) {
	group := [groupBytes]byte(digest[:groupBytes])
	for _, other := range x.groups[group] {
		if other.digest == digest {
			return other.owner, false
		}
	}
	x.groups[group] = append(x.groups[group], entry[Owner]{digest: digest, owner: owner})
	return owner, true
}

// Find returns the owner of a key. Digests are compared in constant time.
func (x *Index[Owner]) Find(key string) (owner Owner, found bool) {
	sum := Sum(key)
	for _, candidate := range x.groups[[groupBytes]byte(sum[:groupBytes])] {
		if subtle.ConstantTimeCompare(candidate.digest[:], sum[:]) == 1 {
			owner, found = candidate.owner, true
		}
	}
	return owner, found
}
