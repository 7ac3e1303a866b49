package prover_test

import (
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSingleMemberAcceptsAChange(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addMembers("control-1")
	wanted := change{class: "interactive", request: "1", flags: []string{"--first-token", "2s"}}

	first := f.mustChange(wanted)
	again := f.mustChange(wanted)

	assert.Equal(t, again.Revision, first.Revision)
	f.checkGuarantees()
}

// leader waits until there is a leader and returns it.
func (f *fleet) leader() *member {
	f.t.Helper()
	var found *member
	eventually(f.t, "there is a leader", func() bool {
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

// concurrentChanges sends changes concurrently and collects their exit codes.
type concurrentChanges struct {
	sync.WaitGroup
	codes []int
}

func (r *concurrentChanges) run(f *fleet, number int, wanted change) {
	defer r.Done()
	_, r.codes[number] = f.sendChange(wanted)
}

func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addMembers("control-1", "control-2", "control-3")
	based := f.mustChange(change{class: "first", request: "0", flags: []string{"--whole", "1h"}}).Revision
	race := &concurrentChanges{codes: make([]int, 6)}
	for number := range race.codes {
		name := string(rune('a' + number))
		race.Add(1)
		go race.run(f, number, change{
			class: name, request: name, based: based, flags: []string{"--whole", "1h"},
		})
	}
	race.Wait()

	won := 0
	for _, code := range race.codes {
		if code == exitDone {
			won++
			continue
		}
		assert.Equal(t, code, exitConflict)
	}
	assert.Equal(t, won, 1)
	f.checkGuarantees()
}

func TestLeaderIsKilledTwice(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	traffic := f.startTraffic(6, 20, "torta", "krem")
	changes := f.startChanges()
	f.awaitAnswers(10)
	for range 2 {
		lost := f.leader()
		lost.process.kill()
		accepted := changes.count()
		eventually(t, "further changes are accepted", func() bool { return changes.count() >= accepted+3 })
		f.awaitAnswers(15)
		lost.process.launch(t)
	}
	eventually(t, "further changes are accepted", func() bool { return changes.count() >= 6 })
	changes.end()
	traffic.end()
	f.checkGuarantees()
}

func TestLeaderIsFrozenAndThawed(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	traffic := f.startTraffic(6, 20, "torta", "krem")
	changes := f.startChanges()
	f.awaitAnswers(10)

	frozen := f.leader()
	frozen.process.freeze()
	accepted := changes.count()
	eventually(t, "further changes are accepted", func() bool { return changes.count() >= accepted+3 })
	f.awaitAnswers(15)
	frozen.process.thaw()
	accepted = changes.count()
	eventually(t, "further changes are accepted", func() bool { return changes.count() >= accepted+3 })
	f.awaitAnswers(15)

	changes.end()
	traffic.end()
	f.checkGuarantees()
}

func TestLeaderIsCutOff(t *testing.T) {
	t.Parallel()
	for name, direction := range map[string]string{"to the leader": toServer, "from the leader": toClient} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSmallFleet(t, 3)
			traffic := f.startTraffic(4, 20, "torta")
			changes := f.startChanges()
			f.awaitAnswers(10)

			cut := f.leader()
			cut.link.blackhole(t, direction)
			accepted := changes.count()
			eventually(t, "further changes are accepted", func() bool { return changes.count() >= accepted+3 })
			f.awaitAnswers(10)
			cut.link.heal(t)
			accepted = changes.count()
			eventually(t, "further changes are accepted", func() bool { return changes.count() >= accepted+3 })

			changes.end()
			traffic.end()
			f.checkGuarantees()
		})
	}
}

func TestAllMembersRestart(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	changes := f.startChanges()
	eventually(t, "changes are accepted", func() bool { return changes.count() >= 5 })
	for _, each := range f.members {
		each.process.kill()
	}
	traffic := f.startTraffic(2, 10, "torta")
	f.awaitAnswers(5)
	for _, each := range f.members {
		each.process.launch(t)
	}
	accepted := changes.count()
	eventually(t, "further changes are accepted", func() bool { return changes.count() >= accepted+3 })
	f.awaitAnswers(10)
	traffic.end()
	changes.end()
	f.checkGuarantees()
}

func TestLostDiskIsRepaired(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	changes := f.startChanges()
	eventually(t, "changes are accepted", func() bool { return changes.count() >= 3 })
	lost := f.members[2]
	lost.process.kill()
	assert.NilError(t, os.RemoveAll(lost.folder))
	lost.process.launch(t)

	eventually(t, "the lost member is removed", func() bool {
		_, code := f.runCommand("member", "remove", lost.name)
		return code == exitDone
	})
	eventually(t, "the member is added again", func() bool {
		_, code := f.runCommand("member", "add", lost.name, lost.link.listen)
		return code == exitDone
	})
	eventually(t, "the member votes again", func() bool {
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
	eventually(t, "changes are accepted after another loss", func() bool { return changes.count() >= accepted+3 })
	changes.end()
	f.checkGuarantees()
}

// TestEmptyDiskDoesNotVote stops the only member with an accepted change while
// another restarts with an empty disk and the third has missed the change. A
// quorum of these two would lose the change, so no change may be accepted.
func TestEmptyDiskDoesNotVote(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t, 3)
	behind, emptied, ahead := f.members[0], f.members[1], f.members[2]
	behind.process.kill()
	first := f.mustChange(change{class: "kept", request: "kept", flags: []string{"--whole", "1h"}})
	ahead.process.kill()
	emptied.process.kill()
	assert.NilError(t, os.RemoveAll(emptied.folder))
	emptied.process.launch(t)
	behind.process.launch(t)

	_, code := f.sendChange(change{class: "other", request: "other", flags: []string{"--whole", "1h"}})
	assert.Assert(t, code != exitDone)

	ahead.process.launch(t)
	second := f.mustChange(change{class: "third", request: "third", flags: []string{"--whole", "1h"}})
	assert.Assert(t, second.Revision > first.Revision)
	for _, each := range f.entries {
		eventually(t, each.name+" has both changes", func() bool {
			kept, _ := f.hasClass(each, "kept")
			third, _ := f.hasClass(each, "third")
			return kept && third
		})
	}
	f.checkGuarantees()
}
