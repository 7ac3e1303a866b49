package historian_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/historian"
)

// An entry that was cut off or stood still while servers of a new version joined must not let a
// stream that began there go on at the version that it knows.
func TestEntryWithAnOldListTakesTheVersionFromTheLeader(t *testing.T) {
	l := newLeader(t, "v1", "v2")
	other := startEntry(t, l, "v1", "v2")
	outOfStep := startEntry(t, l, "v1")
	outOfStep.SetReleases(releasesOf(map[string]time.Time{"v1": {}}))
	other.Begun("r1", stream("s", "v2"))
	eventually(t, func() bool { return l.count() == 1 })
	found, err := outOfStep.Find(t.Context(), "r1", []string{"s"})
	assert.NilError(t, err)
	assert.Equal(t, found, stream("s", "v2"))
	_, err = outOfStep.Find(t.Context(), "r2", []string{"s"})
	var unknown *historian.UnknownOriginError
	assert.Assert(t, errors.As(err, &unknown))

	l.lead(false)
	_, err = outOfStep.Find(t.Context(), "r1", []string{"s"})
	assert.Assert(t, errors.As(err, &unknown), "a stream goes on though the leader can't be asked")
}

// A stream that began at a new version must not go on at the one before because its entry was
// cut off from the leader, whose list is older.
func TestStreamOfAVersionThatTheLeaderDoesNotListIsNotTakenForAnother(t *testing.T) {
	l, cut := newLeader(t, "v1"), newLeader(t, "v1")
	cut.lead(false)
	startEntry(t, cut, "v1", "v2").Begun("r1", stream("s", "v2"))
	time.Sleep(100 * time.Millisecond)
	found, err := startEntry(t, l, "v1").Find(t.Context(), "r1", []string{"s"})
	assert.Assert(t, err != nil || found.Origin.Software == "v2", "goes on at %s", found.Origin.Software)
}
