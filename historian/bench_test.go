package historian_test

import (
	"strconv"
	"testing"

	"burdocklink/historian"
)

// BenchmarkRecord measures what a stream costs the leader or its entry.
func BenchmarkRecord(b *testing.B) {
	table := historian.NewTable(1 << 17)
	ids := make([]string, 1<<18)
	for i := range ids {
		ids[i] = "request-" + strconv.Itoa(i)
	}
	at := 0
	for b.Loop() {
		table.Record(ids[at%len(ids)], stream("s", "v1"), start)
		at++
	}
}

// BenchmarkFind measures a take-up at the leader, without the call.
func BenchmarkFind(b *testing.B) {
	archive := historian.NewArchive()
	archive.SetListed(1, map[string][]string{"s": {"v1", "v2"}}, start)
	releases := releasesOf(nil)
	for b.Loop() {
		archive.Find("r", []string{"s"}, 1, releases, start)
	}
}
