package broadcaster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/broadcaster"
	"burdocklink/quarantiner"
)

func newEntryWithQuarantine(t *testing.T, name string) (*entry, *quarantiner.Quarantiner) {
	t.Helper()
	quarantine := quarantiner.New(quarantiner.Settings{})
	e := newEntryWithSettings(t, name, func(settings *broadcaster.Settings) { settings.Crashes = quarantine })
	return e, quarantine
}

func awaitCrashes(t *testing.T, quarantine *quarantiner.Quarantiner, count int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); len(quarantine.Crashes()) < count; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d crashes known", len(quarantine.Crashes()))
	}
}

// Each entry sends to the next one only.
func TestCrashesReachEntriesThatAreNotPeersOfTheObserver(t *testing.T) {
	first, observer := newEntryWithQuarantine(t, "a")
	second, _ := newEntryWithQuarantine(t, "b")
	third, receiver := newEntryWithQuarantine(t, "c")
	first.sender.SetPeers([]string{second.address})
	second.sender.SetPeers([]string{third.address})
	observer.Merge([]quarantiner.Crash{{Upstream: "u1", Parts: []string{"d"}, At: time.Now()}})
	awaitCrashes(t, receiver, 1)
}

func TestEntryThatJoinsLateLearnsEarlierCrashes(t *testing.T) {
	first, observer := newEntryWithQuarantine(t, "a")
	observer.Merge([]quarantiner.Crash{
		{Upstream: "u1", Parts: []string{"d"}, At: time.Now()},
		{Upstream: "u2", Parts: []string{"d"}, At: time.Now()},
	})
	time.Sleep(100 * time.Millisecond)
	second, receiver := newEntryWithQuarantine(t, "b")
	first.sender.SetPeers([]string{second.address})
	started := time.Now()
	awaitCrashes(t, receiver, 2)
	assert.Assert(t, time.Since(started) < 3*time.Second)
}

// What was at work at crashed upstreams must reach all entries, also those that join late.
func TestRostersReachOtherEntries(t *testing.T) {
	first, observer := newEntryWithQuarantine(t, "a")
	second, _ := newEntryWithQuarantine(t, "b")
	third, receiver := newEntryWithQuarantine(t, "c")
	roster := func(upstream string) quarantiner.Roster {
		return quarantiner.Roster{Upstream: upstream, Suspects: []quarantiner.Suspect{{ID: 7, Events: 3}}, At: time.Now()}
	}
	observer.MergeRosters([]quarantiner.Roster{roster("u1")})
	first.sender.SetPeers([]string{second.address})
	second.sender.SetPeers([]string{third.address})
	observer.MergeRosters([]quarantiner.Roster{roster("u2")})
	for end := time.Now().Add(20 * time.Second); len(receiver.Rosters()) < 2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d rosters known", len(receiver.Rosters()))
	}
}
