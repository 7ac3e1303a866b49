package claimer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// jumpMultiplier is the multiplier of the jump consistent hash.
const jumpMultiplier = 2862933555777941757

// GroupOf returns the zero-based index of the group that holds the key. When the
// number of groups grows from n to n+1, one key in n+1 moves. A number below one
// counts as one group.
func GroupOf(key Key, groups int) int {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(key.Subscriber)))
	digest := xxhash.New()
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(key.Subscriber)
	_, _ = digest.WriteString(key.Name)
	hash := digest.Sum64()
	group, next := int64(0), int64(0)
	for next < int64(groups) {
		group = next
		hash = hash*jumpMultiplier + 1
		next = int64(float64(group+1) * (float64(int64(1)<<31) / float64((hash>>33)+1)))
	}
	return int(group)
}
