package delegator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// addresses returns the addresses of the given number of entries.
func addresses(count int) []string {
	all := make([]string, count)
	for at := range all {
		all[at] = fmt.Sprintf("10.0.%d.%d:7000", at/250, at%250)
	}
	return all
}

// firstCandidates returns the first candidate of each model as seen by one entry.
func firstCandidates(self string, entries []string, models int) map[string]string {
	r := newRing(self)
	r.setPeers(entries)
	owners := map[string]string{}
	for number := range models {
		model := fmt.Sprint("model-", number)
		owners[model] = r.candidates(model, time.Now())[0]
	}
	return owners
}

func TestEntriesAgreeOnOwners(t *testing.T) {
	for _, size := range []int{minEntries, 71, 291, 890} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			entries := addresses(size)
			want := firstCandidates(entries[0], entries, 275)
			for _, index := range []int{1, size / 2, size - 1} {
				// An entry is given only the other entries.
				others := slices.Delete(slices.Clone(entries), index, index+1)
				assert.DeepEqual(t, firstCandidates(entries[index], others, 275), want)
			}
			counts := map[string]int{}
			for _, owner := range want {
				counts[owner]++
			}
			for owner, count := range counts {
				assert.Assert(t, count <= 8+3*275/size, "%s has %d models", owner, count)
			}
		})
	}
}

func TestMembershipChangeMovesOnlyAffectedModels(t *testing.T) {
	entries := addresses(91)
	before := firstCandidates(entries[0], entries[:90], 200)
	after := firstCandidates(entries[0], entries, 200)
	for model, owner := range after {
		assert.Assert(t, owner == before[model] || owner == entries[90], "%s moved to %s", model, owner)
	}
}

func TestUnansweringEntryIsAvoidedForATime(t *testing.T) {
	r := newRing("10.9.9.9:7000")
	r.setPeers(addresses(40))
	now := time.Now()
	before := r.candidates("m", now)
	assert.Equal(t, len(before), maxCandidates)
	r.avoid(before[0], now.Add(avoidDuration))
	assert.Equal(t, r.candidates("m", now)[0], before[1])
	assert.DeepEqual(t, r.candidates("m", now.Add(avoidDuration)), before)
}
