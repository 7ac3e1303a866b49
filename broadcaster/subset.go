package broadcaster

import "slices"

// maxPeers is the maximum number of regular peers. With 70 peers, sending notes used
// half of an entry's CPU share on large sites.
const maxPeers = 24

// subset returns the regular peers of an entry: its successors in a ring of all
// entries ordered by address, so that each entry has the same number of senders.
func subset(own string, peers []string, size int) []string {
	ring := slices.DeleteFunc(slices.Sorted(slices.Values(peers)), func(address string) bool { return address == own })
	if len(ring) <= size {
		return ring
	}
	first, _ := slices.BinarySearch(ring, own)
	chosen := make([]string, 0, size)
	for i := range size {
		chosen = append(chosen, ring[(first+i)%len(ring)])
	}
	return chosen
}

// groupPredecessors returns the entries before an entry in its group, with all
// entries ordered by address and divided into groups of the given size.
func groupPredecessors(own string, peers []string, size int) []string {
	ordered := slices.DeleteFunc(slices.Sorted(slices.Values(peers)), func(address string) bool { return address == own })
	i, _ := slices.BinarySearch(ordered, own)
	return ordered[i-i%size : i]
}
