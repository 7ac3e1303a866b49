package broadcaster

import "slices"

// maxPeers bounds the entries that are told. Telling seventy took an entry of
// the grown sites half of its share of a core.
const maxPeers = 24

// subset returns the peers that an entry tells: those that follow it when all
// entries stand in a ring by address, so that each entry is told by as many.
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

// groupPredecessors returns the entries of the own group that come before the own
// one, when all entries stand in order of address, in groups of a size.
func groupPredecessors(own string, peers []string, size int) []string {
	ordered := slices.DeleteFunc(slices.Sorted(slices.Values(peers)), func(address string) bool { return address == own })
	at, _ := slices.BinarySearch(ordered, own)
	return ordered[at-at%size : at]
}
