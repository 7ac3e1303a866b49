package broadcaster

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against all entries sending notes to the same peers. When these were the
// first 24 addresses, which were in one availability zone, only the entries there
// knew the load of the engines, and 226 of 231 refusals were theirs.
func TestEachEntryHasTheSameNumberOfSenders(t *testing.T) {
	cases := map[string]struct{ entries, size, received int }{
		"alone":               {1, 4, 0},
		"fewer than the size": {4, 4, 3},
		"exactly the size":    {5, 4, 4},
		"many more":           {71, 24, 24},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var all []string
			for i := range c.entries {
				all = append(all, fmt.Sprintf("10.%d.0.%d:1", i%3, i))
			}
			received := map[string]int{}
			for _, own := range all {
				peers := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return address == own })
				for _, peer := range subset(own, peers, c.size) {
					assert.Assert(t, peer != own)
					received[peer]++
				}
			}
			for _, address := range all {
				assert.Equal(t, received[address], c.received, address)
			}
		})
	}
}
