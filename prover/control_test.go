package prover_test

import (
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOneMemberAcceptsAChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addMembers("control-1")
	wanted := change{class: "interactive", request: "1", flags: []string{"--first-token", "2s"}}

	first := f.mustSet(wanted)
	again := f.mustSet(wanted)

	assert.Equal(t, again.Revision, first.Revision)
	f.judge()
}

// leader waits until a member leads and returns it.
func (f *fleet) leader() *member {
	f.t.Helper()
	var found *member
	eventually(f.t, "a member leads", func() bool {
		page, ok := f.status()
		if !ok {
			return false
		}
		for _, each := range f.members {
			if each.name == page.Leader || each.link.listen == page.Leader {
				found = each
			}
		}
		return found != nil
	})
	return found
}

// race sends a change in the background.
type race struct {
	sync.WaitGroup
	codes []int
}

func (r *race) run(f *fleet, number int, wanted change) {
	defer r.Done()
	_, r.codes[number] = f.set(wanted)
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addMembers("control-1", "control-2", "control-3")
	based := f.mustSet(change{class: "first", request: "0", flags: []string{"--whole", "1h"}}).Revision
	contest := &race{codes: make([]int, 6)}
	for number := range contest.codes {
		name := string(rune('a' + number))
		contest.Add(1)
		go contest.run(f, number, change{
			class: name, request: name, based: based, flags: []string{"--whole", "1h"},
		})
	}
	contest.Wait()

	won := 0
	for _, code := range contest.codes {
		if code == exitDone {
			won++
			continue
		}
		assert.Equal(t, code, exitConflict)
	}
	assert.Equal(t, won, 1)
	f.judge()
}

func TestLeaderIsKilledTwice(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	traffic := f.startTraffic(6, 20, "torta", "krem")
	changes := f.startSetter()
	f.answered(10)
	for range 2 {
		lost := f.leader()
		lost.process.kill()
		accepted := changes.count()
		eventually(t, "changes go on", func() bool { return changes.count() >= accepted+3 })
		f.answered(15)
		lost.process.begin(t)
	}
	eventually(t, "changes go on", func() bool { return changes.count() >= 6 })
	changes.end()
	traffic.end()
	f.judge()
}

func TestLeaderIsFrozenAndThawed(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	traffic := f.startTraffic(6, 20, "torta", "krem")
	changes := f.startSetter()
	f.answered(10)

	frozen := f.leader()
	frozen.process.freeze()
	accepted := changes.count()
	eventually(t, "changes go on", func() bool { return changes.count() >= accepted+3 })
	f.answered(15)
	frozen.process.thaw()
	accepted = changes.count()
	eventually(t, "changes go on", func() bool { return changes.count() >= accepted+3 })
	f.answered(15)

	changes.end()
	traffic.end()
	f.judge()
}

func TestLeaderIsCutOff(t *testing.T) {
	t.Parallel()
	for name, direction := range map[string]string{"to it": toServer, "from it": toClient} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSmallFleet(t, 3)
			traffic := f.startTraffic(4, 20, "torta")
			changes := f.startSetter()
			f.answered(10)

			cut := f.leader()
			cut.link.silence(t, direction)
			accepted := changes.count()
			eventually(t, "changes go on", func() bool { return changes.count() >= accepted+3 })
			f.answered(10)
			cut.link.heal(t)
			accepted = changes.count()
			eventually(t, "changes go on", func() bool { return changes.count() >= accepted+3 })

			changes.end()
			traffic.end()
			f.judge()
		})
	}
}

func TestAllMembersRestart(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	changes := f.startSetter()
	eventually(t, "changes are accepted", func() bool { return changes.count() >= 5 })
	for _, each := range f.members {
		each.process.kill()
	}
	traffic := f.startTraffic(2, 10, "torta")
	f.answered(5)
	for _, each := range f.members {
		each.process.begin(t)
	}
	accepted := changes.count()
	eventually(t, "changes go on", func() bool { return changes.count() >= accepted+3 })
	f.answered(10)
	traffic.end()
	changes.end()
	f.judge()
}

func TestLostDiskIsRepaired(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	changes := f.startSetter()
	eventually(t, "changes are accepted", func() bool { return changes.count() >= 3 })
	lost := f.members[2]
	lost.process.kill()
	assert.NilError(t, os.RemoveAll(lost.folder))
	lost.process.begin(t)

	eventually(t, "the lost member is removed", func() bool {
		_, code := f.operate("member", "remove", lost.name)
		return code == exitDone
	})
	eventually(t, "it is added anew", func() bool {
		_, code := f.operate("member", "add", lost.name, lost.link.listen)
		return code == exitDone
	})
	eventually(t, "it votes again", func() bool {
		page, ok := f.status()
		voters := 0
		for _, each := range page.Members {
			if each.Role == "voter" {
				voters++
			}
		}
		return ok && voters == 3
	})

	f.members[0].process.kill()
	accepted := changes.count()
	eventually(t, "the next loss is survived", func() bool { return changes.count() >= accepted+3 })
	changes.end()
	f.judge()
}

// TestEmptyDiskDoesNotVote loses the only other copy of accepted changes: the
// group must stand still and not forget them.
func TestEmptyDiskDoesNotVote(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	behind, emptied, ahead := f.members[0], f.members[1], f.members[2]
	behind.process.kill()
	first := f.mustSet(change{class: "kept", request: "kept", flags: []string{"--whole", "1h"}})
	ahead.process.kill()
	emptied.process.kill()
	assert.NilError(t, os.RemoveAll(emptied.folder))
	emptied.process.begin(t)
	behind.process.begin(t)

	_, code := f.set(change{class: "other", request: "other", flags: []string{"--whole", "1h"}})
	assert.Assert(t, code != exitDone)

	ahead.process.begin(t)
	second := f.mustSet(change{class: "third", request: "third", flags: []string{"--whole", "1h"}})
	assert.Assert(t, second.Revision > first.Revision)
	for _, each := range f.entries {
		eventually(t, each.name+" has both", func() bool {
			kept, _ := f.knows(each, "kept")
			third, _ := f.knows(each, "third")
			return kept && third
		})
	}
	f.judge()
}
