package delegator

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
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

// equalCapacities returns entries whose capacities are not known.
func equalCapacities(entries []string) map[string]int {
	capacities := map[string]int{}
	for _, address := range entries {
		capacities[address] = 0
	}
	return capacities
}

// firstCandidates returns the first candidate of each model as seen by one entry.
func firstCandidates(self string, entries []string, models int) map[string]string {
	r := newRing(self, 0)
	r.setPeers(equalCapacities(entries))
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
	r := newRing("10.9.9.9:7000", 0)
	r.setPeers(equalCapacities(addresses(40)))
	now := time.Now()
	before := r.candidates("m", now)
	assert.Equal(t, len(before), maxCandidates)
	r.avoid(before[0], now.Add(avoidDuration))
	assert.Equal(t, r.candidates("m", now)[0], before[1])
	assert.DeepEqual(t, r.candidates("m", now.Add(avoidDuration)), before)
}

// Guards against small entries that own as many models as large ones: on a fleet of 58
// entries of 144 thousandths of a core and 18 of 480, each part follows the capacity.
func TestEntriesOwnAsMuchAsTheirCapacityAllows(t *testing.T) {
	const small, large = 144, 480
	entries := addresses(76)
	capacities := map[string]int{}
	for i, address := range entries {
		capacities[address] = small
		if i < 18 {
			capacities[address] = large
		}
	}
	r := newRing(entries[0], large)
	r.setPeers(capacities)
	const models = 20000
	owned := 0
	for number := range models {
		if capacities[r.candidates(fmt.Sprint("model-", number), time.Now())[0]] == large {
			owned++
		}
	}
	want := 18.0 * large / (18*large + 58*small)
	share := float64(owned) / models
	assert.Assert(t, share > 0.95*want && share < 1.05*want, "large entries own %.3f, their capacity is %.3f", share, want)
}

// Guards against ownership that moves with an upgrade of a fleet of equal entries.
func TestEqualEntriesOwnWhatTheirHashesSay(t *testing.T) {
	entries := addresses(60)
	for _, capacity := range []int{0, 192} {
		r := newRing(entries[0], capacity)
		capacities := map[string]int{}
		for _, address := range entries {
			capacities[address] = capacity
		}
		r.setPeers(capacities)
		for number := range 300 {
			model := fmt.Sprint("model-", number)
			want := slices.MaxFunc(entries, func(a, b string) int {
				return cmp.Compare(xxhash.Sum64String(a+" "+model), xxhash.Sum64String(b+" "+model))
			})
			assert.Equal(t, r.candidates(model, time.Now())[0], want)
		}
	}
}
