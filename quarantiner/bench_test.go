package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"burdocklink/quarantiner"
)

// BenchmarkRequest measures what one answered request of three shared parts costs.
func BenchmarkRequest(b *testing.B) {
	for _, crashes := range []int{0, 2, 128} {
		b.Run(fmt.Sprintf("crashes-%d", crashes), func(b *testing.B) {
			table := quarantiner.NewTable()
			for i := range crashes {
				table.Merge(quarantiner.Crash{
					Upstream: fmt.Sprint("u", i), Parts: []string{"a", fmt.Sprint("b", i), "d"}, Harmless: []string{"a"},
					At: start.Add(time.Duration(i) * time.Second),
				}, start)
			}
			parts, now := []string{"a", "x", "y"}, start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				table.Decide(ofParts(parts...), probing(false), now)
				table.Permits(ofParts(parts...), quarantiner.Trial{}, now)
				table.Permits(ofParts(parts...), quarantiner.Trial{}, now)
				table.Answered(ofParts(parts...), now)
			}
		})
	}
}
