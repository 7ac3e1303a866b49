package gossiper

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/cataloger"
	"burdocklink/faker"
	"burdocklink/follower"
	"burdocklink/linker"
	"burdocklink/placer"
	"burdocklink/quarantiner"
)

// waitTimeout is generous, so that slow machines do not fail the tests.
const waitTimeout = 30 * time.Second

type entry struct {
	follower   *follower.Follower
	gossiper   *Gossiper
	quarantine *quarantiner.Quarantiner
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := faker.FreeAddress()
	assert.NilError(t, err)
	return address
}

// startEntry starts an entry that cannot reach a control member.
func startEntry(t *testing.T, name, address string, peers []string) entry {
	t.Helper()
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	catalogs := follower.New(follower.Settings{
		Entry:     name,
		Control:   []string{"127.0.0.1:1"},
		Links:     links,
		OnCatalog: func(*cataloger.Catalog) {},
		Demand:    func() placer.Demand { return placer.Demand{} },
		Log:       zap.NewNop(),
	})
	assert.NilError(t, catalogs.Start(context.Background(), nil))
	quarantine := quarantiner.New(quarantiner.Settings{})
	g := New(Settings{
		Entry:      name,
		Listen:     address,
		Peers:      peers,
		Links:      links,
		Follower:   catalogs,
		Quarantine: quarantine,
		Meter:      linker.NewMeter(metrics.NewRegistry()),
		Log:        zap.NewNop(),
	})
	assert.NilError(t, g.Start(context.Background(), nil))
	t.Cleanup(func() {
		assert.NilError(t, g.Stop(time.Now().Add(waitTimeout)))
		assert.NilError(t, catalogs.Stop(time.Now().Add(waitTimeout)))
		links.Close()
	})
	return entry{follower: catalogs, gossiper: g, quarantine: quarantine}
}

func TestAConfirmedCatalogReachesAPeerWithoutControlMembers(t *testing.T) {
	firstAddress, secondAddress := freeAddress(t), freeAddress(t)
	first := startEntry(t, "e-1", firstAddress, []string{secondAddress})
	second := startEntry(t, "e-2", secondAddress, []string{firstAddress})
	catalog, err := cataloger.New().With(cataloger.Delta{To: 7})
	assert.NilError(t, err)

	// A confirmation counts only if it is newer than the start of the second entry.
	first.follower.EnqueueOffer(follower.Offer{
		Catalog:      catalog,
		Confirmation: follower.Confirmation{Revision: 7, At: time.Now().Add(time.Millisecond)},
	})

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := second.follower.Catalog(); got != nil && got.Revision == 7 {
			return poll.Success()
		}
		return poll.Continue("the second entry has no catalog in force")
	}, poll.WithTimeout(waitTimeout))
}

func TestCrashesReachPeersInBothDirections(t *testing.T) {
	firstAddress, secondAddress := freeAddress(t), freeAddress(t)
	first := startEntry(t, "e-1", firstAddress, []string{secondAddress})
	second := startEntry(t, "e-2", secondAddress, nil)
	first.quarantine.Merge([]quarantiner.Crash{{Upstream: "u1", Parts: []string{"d"}, At: time.Now()}})
	second.quarantine.Merge([]quarantiner.Crash{{Upstream: "u2", Parts: []string{"d"}, At: time.Now()}})

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(first.quarantine.Crashes()) == 2 && len(second.quarantine.Crashes()) == 2 {
			return poll.Success()
		}
		return poll.Continue("an entry knows only its own crash")
	}, poll.WithTimeout(waitTimeout))
}

func TestAnEntryWithoutReachablePeersHasNoMajority(t *testing.T) {
	isolated := startEntry(t, "e-1", freeAddress(t), []string{freeAddress(t), freeAddress(t)})

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !isolated.gossiper.Majority() {
			return poll.Success()
		}
		return poll.Continue("no peer was tried yet")
	}, poll.WithTimeout(waitTimeout))
}

func TestAttemptTableCountsTheLastAttemptOfEachPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newAttemptTable()
	table.record("a", true, now)
	table.record("a", false, now)
	table.record("b", true, now)
	table.record("c", true, now.Add(-attemptLifetime-time.Second))

	answered, tried := table.count(now)

	assert.Equal(t, answered, 1)
	assert.Equal(t, tried, 2)
}
