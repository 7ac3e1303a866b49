package provisioner

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"google.golang.org/grpc"

	"burdocklink/admitter"
	"burdocklink/broadcaster"
	"burdocklink/cataloger"
	"burdocklink/delegator"
	"burdocklink/dispatcher"
	"burdocklink/follower"
	"burdocklink/forwarder"
	"burdocklink/linker"
	"burdocklink/observer"
	"burdocklink/platform"
	"burdocklink/prober"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/reserver"
	"burdocklink/router"
	"burdocklink/seeker"
	"burdocklink/surveyor"
)

const (
	// minListInterval is how old the last reading of the platform's list may be
	// at least, the leader's or the own one.
	minListInterval = 1500 * time.Millisecond
	// demandInterval is the time between two reports of demand.
	demandInterval = 500 * time.Millisecond
	// crossZoneCost is what a call to another availability zone costs beside
	// the wait for a first token: the way there and back.
	crossZoneCost = 4 * time.Millisecond
)

// listInterval is how old the last reading of the platform's list may be: with one
// that takes long, it passes before a leaving upstream may get no more work. In a
// large fleet the leader tells of its readings each second or so; a shorter time
// would have hundreds of entries read the list themselves.
func listInterval(drain time.Duration) time.Duration { return max(minListInterval, drain/2) }

// NewEntryNode puts an entry on the platform together.
func NewEntryNode(settings Settings) (*Node, error) {
	parts := newEntryParts(settings)
	catalogs := parts.newFollower()
	parts.initDelegation(catalogs.Leader)
	callers := parts.newForwarder()
	reservations := reserver.New(reserver.Settings{
		Entry:  settings.Node,
		Links:  parts.links,
		Leader: catalogs.Leader,
		Router: parts.routes,
		Wake:   parts.admission.Wake,
		Log:    settings.Log,
	})
	health := prober.New(prober.Settings{
		Listen:    settings.ReadinessAddress,
		ReadyPath: platform.PathReady,
		Ready:     callers.Accepting,
		Reporter:  parts.metrics,
		Log:       settings.Log,
	})
	return &Node{
		Services: []registrar.Service{health, parts.admission, parts.broadcasts, parts.upstreams, catalogs, reservations, callers},
		Reload:   func(changed platform.Settings) { catalogs.SetControl(changed.SeedLinks()) },
	}, nil
}

// entryParts are what several services of an entry share.
type entryParts struct {
	settings      Settings
	metrics       *reporter.Reporter
	routes        *router.Router
	retries       *retryShare
	admission     *admitter.Admitter
	calls         *dispatcher.Dispatcher
	observations  *observer.Observer
	links         *linker.Linker
	broadcasts    *broadcaster.Broadcaster
	holders       *seeker.Seeker
	delegations   *delegator.Delegator
	upstreams     *surveyor.Surveyor
	configuration *activeConfiguration
}

func newEntryParts(settings Settings) *entryParts {
	p := &entryParts{settings: settings, metrics: reporter.New(reporter.Settings{})}
	p.routes = router.New(router.Settings{
		AvailabilityZone: settings.AvailabilityZone,
		Seed:             xxhash.Sum64String(settings.Node),
		CrossZoneCost:    crossZoneCost,
	})
	p.retries = newRetryShare(settings.Bounds)
	p.admission = admitter.New(p.routes, admitter.Settings{RetryBudget: p.retries.budgetSettings()})
	p.retries.setReserve = p.admission.SetRetryReserve
	p.calls = dispatcher.New(dispatcher.Settings{DialTimeout: dialTimeout})
	p.observations = observer.New(observer.Settings{
		Router:   p.routes,
		Wake:     p.admission.Wake,
		Forget:   p.calls.CloseIdle,
		Registry: p.metrics.Registry(),
		Log:      settings.Log,
	})
	p.links = linker.New(nil, linker.NewMeter(p.metrics.Registry()))
	p.upstreams = surveyor.New(surveyor.Settings{
		FetchPage: platform.NewClient(settings.List.Address, p.calls).FetchList,
		AskPeer:   p.askPeer,
		Interval:  listInterval(settings.Bounds.Drain),
		Notify:    p.notify,
		Log:       settings.Log,
	})
	p.broadcasts = broadcaster.New(broadcaster.Settings{
		Entry:  settings.Node,
		Listen: settings.LinkAddress,
		Links:  p.links,
		Router: p.routes,
		Answer: p.upstreams.ServeReading,
		Wake:   p.admission.Wake,
		Log:    settings.Log,

		Interested: func(upstream string) []string { return p.delegations.InterestedEntries(upstream) },
		Register:   func(server *grpc.Server) { p.delegations.Register(server) },
	})
	p.configuration = newActiveConfiguration(p.upstreams, settings.Log)
	return p
}

// notify brings what changed of the upstreams to those who decide by it.
func (p *entryParts) notify(changes []cataloger.Change) {
	p.routes.Apply(changes)
	p.admission.Wake()
}

// mergeLimits takes in what a control member heard of upstreams' limits.
func (p *entryParts) mergeLimits(member string, observed []router.ObservedLimit) {
	if p.routes.MergeLimits(time.Now(), member, observed) {
		p.admission.Wake()
	}
}

// askPeer asks another entry for its reading of the platform's list.
func (p *entryParts) askPeer(ctx context.Context, request surveyor.ReadingRequest) (surveyor.Reading, error) {
	return p.broadcasts.Ask(ctx, request)
}

// setPeers takes in the addresses of the other entries.
func (p *entryParts) setPeers(peers []string) {
	p.broadcasts.Meet(peers)
	p.delegations.SetPeers(peers)
	p.retries.setEntries(len(peers) + 1)
}

func (p *entryParts) newFollower() *follower.Follower {
	return follower.New(follower.Settings{
		Entry:               p.settings.Node,
		Incarnation:         uuid.NewString(),
		AvailabilityZone:    p.settings.AvailabilityZone,
		Control:             p.settings.SeedLinks(),
		Links:               p.links,
		OnCatalog:           p.configuration.apply,
		Demand:              p.admission.Demand,
		Loads:               p.routes.Loads,
		PeerAddress:         p.settings.LinkAddress,
		OnPeers:             p.setPeers,
		OnHoldings:          p.upstreams.UpdateHoldings,
		OnHoldingsConfirmed: p.upstreams.ExtendHoldings,
		OnListing:           p.upstreams.ApplyChanges,
		OnListRead:          p.upstreams.ConfirmRead,
		OnLimits:            p.mergeLimits,
		ReportInterval:      loadReportInterval,
		DemandInterval:      demandInterval,
		Log:                 p.settings.Log,
	})
}

// initDelegation has requests for a model admitted by one entry where there are many.
func (p *entryParts) initDelegation(leader func() string) {
	p.holders = seeker.New(seeker.Settings{
		Links: p.links, Leader: leader, Tell: p.upstreams.UpdateHoldings, Held: p.routes.HasHolder, Log: p.settings.Log,
	})
	p.delegations = delegator.New(delegator.Settings{
		Listen:     p.settings.LinkAddress,
		Links:      p.links,
		Local:      p.admission,
		Holders:    p.holders,
		HeldModels: p.routes.HeldModels,
		Metrics:    p.metrics.Registry(),
		Log:        p.settings.Log,
	})
}

func (p *entryParts) newForwarder() *forwarder.Forwarder {
	return forwarder.New(forwarder.Config{
		Listen:           p.settings.CallerAddress,
		AvailabilityZone: p.settings.AvailabilityZone,
		Linger:           lingerTime,
		Codec:            platform.Codec(),
		Table:            p.configuration.table.Load,
		Ready:            func() error { return nil },
		Admitter:         p.delegations,
		Holders:          p.holders,
		Upstreams:        p.observations,
		Calls:            p.calls,
		Reporter:         p.metrics,
		Log:              p.settings.Log,
	})
}
