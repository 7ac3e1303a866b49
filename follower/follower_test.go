package follower

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/classifier"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/placer"
)

func newTestFollower(notify func(*cataloger.Catalog)) *Follower {
	return New(Settings{
		Entry:     "e-1",
		OnCatalog: notify,
		Demand:    func() placer.Demand { return placer.Demand{} },
		Log:       zap.NewNop(),
	})
}

// catalogAt returns a catalog at a revision.
func catalogAt(t *testing.T, revision uint64) *cataloger.Catalog {
	t.Helper()
	catalog, err := cataloger.New().With(cataloger.Delta{To: revision})
	assert.NilError(t, err)
	return catalog
}

func delta(t *testing.T, from, to uint64, class string) []byte {
	t.Helper()
	data, err := encoder.EncodeDelta(cataloger.Delta{
		From:    from,
		To:      to,
		Changes: []cataloger.Change{cataloger.PutClass{Class: classifier.Class{Name: class}}},
	})
	assert.NilError(t, err)
	return data
}

func confirmation(f *Follower, revision uint64, after time.Duration) Confirmation {
	return Confirmation{Revision: revision, At: f.started.Add(after)}
}

func TestNothingIsInForceBeforeAQuorumConfirms(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})

	assert.NilError(t, f.applySnapshot(delta(t, 0, 7, "waiting")))
	assert.Assert(t, f.Catalog() == nil)

	f.confirm(confirmation(f, 7, time.Second))
	assert.Equal(t, f.Catalog().Revision, uint64(7))
}

func TestAConfirmationAboveTheLatestRevisionWaits(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})
	assert.NilError(t, f.applySnapshot(delta(t, 0, 7, "waiting")))

	f.confirm(confirmation(f, 9, time.Second))
	assert.Assert(t, f.Catalog() == nil)

	assert.NilError(t, f.applyDelta(delta(t, 7, 9, "drafts")))
	assert.Equal(t, f.Catalog().Revision, uint64(9))
}

func TestAConfirmationFromBeforeTheStartIsIgnored(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})

	f.handleOffer(Offer{Catalog: catalogAt(t, 5), Confirmation: confirmation(f, 5, -time.Second)})

	assert.Assert(t, f.Catalog() == nil)
}

func TestTheRevisionInForceNeverStepsBack(t *testing.T) {
	var revisions []uint64
	f := newTestFollower(func(catalog *cataloger.Catalog) { revisions = append(revisions, catalog.Revision) })
	f.handleOffer(Offer{Catalog: catalogAt(t, 5), Confirmation: confirmation(f, 5, time.Second)})
	f.handleOffer(Offer{Catalog: catalogAt(t, 4), Confirmation: confirmation(f, 4, 2*time.Second)})
	assert.NilError(t, f.applySnapshot(delta(t, 0, 3, "late")))
	assert.NilError(t, f.applyDelta(delta(t, 2, 4, "late")))
	f.handleOffer(Offer{Catalog: catalogAt(t, 6), Confirmation: confirmation(f, 6, 3*time.Second)})

	assert.DeepEqual(t, revisions, []uint64{5, 6})
}

func TestADeltaWithARevisionGapIsAnError(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})
	assert.NilError(t, f.applySnapshot(delta(t, 0, 5, "waiting")))

	err := f.applyDelta(delta(t, 6, 7, "drafts"))

	assert.ErrorType(t, err, &cataloger.RevisionGapError{})
}

func TestAHeartbeatConfirmsAsOfTheReportItEchoes(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})
	sent := newSentReports()
	reported := f.started.Add(time.Second)
	number := sent.add(reported)

	cases := map[string]struct {
		echo uint64
		want time.Time
	}{
		"no echo":          {echo: 0, want: time.Time{}},
		"unknown report":   {echo: number + 1, want: time.Time{}},
		"the first report": {echo: number, want: reported},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f.confirmed.Store(&Confirmation{})
			err := f.handleHeartbeat("a", sent, &wire.Heartbeat{Echo: c.echo, Revision: 1, Leading: true})
			assert.NilError(t, err)
			assert.Equal(t, f.Confirmed().At, c.want)
		})
	}
}

// Guards against an entry that takes its keys for current by a heartbeat that was delayed, or
// that confirms a revision which is not in force here yet.
func TestTheCatalogIsSyncedAsOfTheReportOnceItsRevisionIsInForce(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})
	assert.NilError(t, f.applySnapshot(delta(t, 0, 7, "waiting")))
	sent := newSentReports()
	heartbeat := func(revision uint64) time.Time {
		number := sent.add(time.Now())
		assert.NilError(t, f.handleHeartbeat("a", sent, &wire.Heartbeat{Echo: number, Revision: revision, Leading: true}))
		return sent.steadyAt(number)
	}
	assert.Assert(t, f.SyncedAt().IsZero())
	first := heartbeat(7)
	assert.Equal(t, f.SyncedAt(), first)
	ahead := heartbeat(9)
	assert.Equal(t, f.SyncedAt(), first, "revision 9 has not arrived")
	assert.NilError(t, f.applyDelta(delta(t, 7, 9, "drafts")))
	assert.Equal(t, f.SyncedAt(), ahead)
	// a heartbeat that echoes an older report changes nothing
	assert.NilError(t, f.handleHeartbeat("a", sent, &wire.Heartbeat{Echo: 1, Revision: 9, Leading: true}))
	assert.Equal(t, f.SyncedAt(), ahead)
}

func TestAHeartbeatOfANonLeaderRedirectsToTheLeader(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})

	err := f.handleHeartbeat("10.0.0.1:1", newSentReports(), &wire.Heartbeat{Leader: "10.0.0.2:1"})

	assert.ErrorType(t, err, &NotLeaderError{})
	assert.Equal(t, f.Leader(), "10.0.0.2:1")
}

type fakePeers bool

func (p fakePeers) Majority() bool { return bool(p) }

func TestReady(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})
	assert.ErrorType(t, f.Ready(time.Now(), fakePeers(true)), &NotInForceError{})

	f.handleOffer(Offer{Catalog: catalogAt(t, 1), Confirmation: confirmation(f, 1, time.Second)})
	confirmed := f.Confirmed().At
	cases := map[string]struct {
		after    time.Duration
		majority fakePeers
		want     error
	}{
		"confirmed":                   {after: time.Second, majority: false},
		"majority without quorum":     {after: time.Minute, majority: true},
		"neither quorum nor majority": {after: time.Minute, majority: false, want: &IsolatedError{}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			err := f.Ready(confirmed.Add(test.after), test.majority)
			if test.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.ErrorType(t, err, test.want)
		})
	}
}

// TestAStreamFromANonLeaderEnds guards against entries that stay with a member
// that is cut off from the other members, and so miss changes. In one run, entries
// missed two changes.
func TestAStreamFromANonLeaderEnds(t *testing.T) {
	f := newTestFollower(func(*cataloger.Catalog) {})
	cases := map[string]struct {
		heartbeat *wire.Heartbeat
		wantErr   bool
	}{
		"leads":                    {&wire.Heartbeat{Leader: "a", Leading: true}, false},
		"leads without an address": {&wire.Heartbeat{Leading: true}, false},
		"knows the leader":         {&wire.Heartbeat{Leader: "b"}, true},
		"knows no leader":          {&wire.Heartbeat{}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, f.handleHeartbeat("a", newSentReports(), c.heartbeat) != nil, c.wantErr)
		})
	}
}
