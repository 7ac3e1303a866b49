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
	"burdocklink/charger"
	"burdocklink/delegator"
	"burdocklink/dispatcher"
	"burdocklink/follower"
	"burdocklink/forwarder"
	"burdocklink/historian"
	"burdocklink/linker"
	"burdocklink/observer"
	"burdocklink/platform"
	"burdocklink/prober"
	"burdocklink/quarantiner"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/reserver"
	"burdocklink/router"
	"burdocklink/seeker"
	"burdocklink/surveyor"
)

const (
	// minListInterval is the lower bound of listInterval.
	minListInterval = 1500 * time.Millisecond
	// demandInterval is the time between two demand reports.
	demandInterval = 500 * time.Millisecond
	// crossZoneCost is the round trip to another availability zone, which is added to
	// the expected time to first token.
	crossZoneCost = 4 * time.Millisecond
)

// listInterval returns the maximum age of the last reading of the platform's list,
// the leader's or the entry's own, before the entry reads the list itself. Half the
// drain time leaves room for a slow reading before a leaving upstream must get no
// more requests. In a large fleet the leader sends its readings about once a second;
// a shorter interval would make hundreds of entries read the list themselves.
func listInterval(drain time.Duration) time.Duration { return max(minListInterval, drain/2) }

// NewEntryNode returns an entry for the platform.
func NewEntryNode(settings Settings) (*Node, error) {
	parts := newEntryParts(settings)
	catalogs := parts.newFollower()
	parts.initDelegation(catalogs.Leader)
	parts.initStreams(catalogs.Leader)
	parts.initQuotas(catalogs.Leader)
	callers := parts.newForwarder(catalogs.SyncedAt)
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
		Services: []registrar.Service{health, parts.admission, parts.broadcasts, parts.upstreams, catalogs, reservations, parts.quotas, parts.streams, callers},
		Reload:   func(changed platform.Settings) { catalogs.SetControl(changed.SeedLinks()) },
	}, nil
}

// entryParts are the parts that several services of an entry share.
type entryParts struct {
	settings      Settings
	metrics       *reporter.Reporter
	routes        *router.Router
	retries       *retryShare
	admission     *admitter.Admitter
	calls         *dispatcher.Dispatcher
	observations  *observer.Observer
	platform      *platform.Client
	links         *linker.Linker
	broadcasts    *broadcaster.Broadcaster
	holders       *seeker.Seeker
	delegations   *delegator.Delegator
	quarantine    *quarantiner.Quarantiner
	upstreams     *surveyor.Surveyor
	streams       *historian.Historian
	quotas        *charger.Charger
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
	p.platform = platform.NewClient(settings.List.Address, p.calls)
	p.upstreams = surveyor.New(surveyor.Settings{
		FetchPage: p.platform.FetchList,
		AskPeer:   p.askPeer,
		Interval:  listInterval(settings.Bounds.Drain),
		Notify:    p.notify,
		Log:       settings.Log,
	})
	p.quarantine = quarantiner.New(quarantiner.Settings{
		Entry:   settings.LinkAddress,
		Metrics: p.metrics.Registry(),
		Log:     settings.Log,
	})
	p.broadcasts = broadcaster.New(broadcaster.Settings{
		Entry:        settings.Node,
		Listen:       settings.LinkAddress,
		Links:        p.links,
		Router:       p.routes,
		ServeReading: p.upstreams.ServeReading,
		Crashes:      p.quarantine,
		Wake:         p.admission.Wake,
		Log:          settings.Log,

		InterestedEntries: func(upstream string) []string { return p.delegations.InterestedEntries(upstream) },
		RegisterServices:  func(server *grpc.Server) { p.delegations.Register(server) },
	})
	p.configuration = newActiveConfiguration(p.upstreams, settings.Log)
	return p
}

// notify passes changes of upstreams to the router and wakes waiting requests.
func (p *entryParts) notify(changes []cataloger.Change) {
	p.routes.Apply(changes)
	p.admission.Wake()
}

// mergeLimits merges the upstream rate limits that a control member observed.
func (p *entryParts) mergeLimits(member string, observed []router.ObservedLimit) {
	if p.routes.MergeLimits(time.Now(), member, observed) {
		p.admission.Wake()
	}
}

// askPeer requests another entry's reading of the platform's list.
func (p *entryParts) askPeer(ctx context.Context, request surveyor.ReadingRequest) (surveyor.Reading, error) {
	return p.broadcasts.RequestReading(ctx, request)
}

// setPeers sets the other entries.
func (p *entryParts) setPeers(peers []follower.Peer) {
	addresses := make([]string, 0, len(peers))
	capacities := make(map[string]int, len(peers))
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
		capacities[peer.Address] = peer.Capacity
	}
	p.broadcasts.SetPeers(addresses)
	p.delegations.SetPeers(capacities)
	p.quarantine.SetPeers(addresses)
	p.retries.setEntries(len(peers) + 1)
}

func (p *entryParts) newFollower() *follower.Follower {
	return follower.New(follower.Settings{
		Entry:               p.settings.Node,
		Incarnation:         uuid.NewString(),
		AvailabilityZone:    p.settings.AvailabilityZone,
		Control:             p.settings.SeedLinks(),
		Links:               p.links,
		OnCatalog:           p.applyCatalog,
		Demand:              p.admission.Demand,
		Loads:               p.routes.Loads,
		PeerAddress:         p.settings.LinkAddress,
		OnPeers:             p.setPeers,
		Capacity:            capacityOf(p.settings.Cores),
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

// applyCatalog puts a catalog in force.
func (p *entryParts) applyCatalog(catalog *cataloger.Catalog) {
	p.streams.SetReleases(catalog.Releases)
	p.configuration.apply(catalog)
}

// initStreams sets up the memory of which software began the streams of callers.
func (p *entryParts) initStreams(leader func() string) {
	p.streams = historian.New(historian.Settings{
		Entry: p.settings.Node, Links: p.links, Leader: leader, Listed: p.routes.Software, Log: p.settings.Log,
	})
}

// identify returns the incarnation that an engine reports at the address of a choice.
func (p *entryParts) identify(ctx context.Context, choice router.Choice) (string, error) {
	report, err := p.platform.Report(ctx, surveyor.Upstream{Name: choice.Upstream, Address: choice.Address})
	return report.Incarnation, err
}

// initDelegation sets up the delegation of admission: if there are many entries, the
// requests for a model are admitted by one of them.
func (p *entryParts) initDelegation(leader func() string) {
	p.holders = seeker.New(seeker.Settings{
		Links: p.links, Leader: leader, UpdateHoldings: p.upstreams.UpdateHoldings, Held: p.routes.HasHolder, Log: p.settings.Log,
	})
	p.delegations = delegator.New(delegator.Settings{
		Listen:     p.settings.LinkAddress,
		Capacity:   capacityOf(p.settings.Cores),
		Links:      p.links,
		Local:      p.admission,
		Holders:    p.holders,
		HeldModels: p.routes.HeldModels,
		ServiceOf:  p.routes.ServiceOf,
		Upstreams:  p.plainUpstreams,
		Metrics:    p.metrics.Registry(),
		Log:        p.settings.Log,
	})
}

// initQuotas sets up the charging of organisations' quotas.
func (p *entryParts) initQuotas(leader func() string) {
	p.quotas = charger.New(charger.Settings{
		Entry: p.settings.Node, Links: p.links, Leader: leader, Bounds: p.settings.Bounds.Quotas, Log: p.settings.Log,
	})
}

// capacityOf returns a share of a core in thousandths.
func capacityOf(cores float64) int { return int(min(max(0, cores), maxCores) * 1000) }

// maxCores bounds the cores of a VM.
const maxCores = 1024

// plainUpstreams returns the number of live upstreams of a plain service; zero for engines
// and unknown services.
func (p *entryParts) plainUpstreams(service string) int {
	table := p.configuration.table.Load()
	if table == nil {
		return 0
	}
	if known, ok := table.Configuration.Services[service]; !ok || known.Engine != nil {
		return 0
	}
	return p.routes.CountUpstreams(service)
}

// newForwarder returns the service for callers. SyncedAt returns when the catalog in force
// was last known to be the newest.
func (p *entryParts) newForwarder(syncedAt func() time.Time) *forwarder.Forwarder {
	return forwarder.New(forwarder.Config{
		Listen:           p.settings.CallerAddress,
		AvailabilityZone: p.settings.AvailabilityZone,
		Linger:           lingerTime,
		Connections:      connectionLimit(p.settings.MemoryBytes, p.settings.Descriptors),
		BodyBytes:        p.settings.MemoryBytes / bodyMemoryDivisor,
		AnswerBytes:      p.settings.MemoryBytes / answerMemoryDivisor,
		Codec:            platform.Codec(),
		Table:            p.configuration.table.Load,
		Ready:            func() error { return nil },
		Admitter:         p.delegations,
		Holders:          p.holders,
		Upstreams:        p.observations,
		Calls:            p.calls,
		Quarantine:       p.quarantine,
		Streams:          p.streams,
		Identify:         p.identify,
		Quotas:           p.quotas,
		KeysConfirmedAt:  p.configuration.confirmedBy(syncedAt),
		KeyLifetime:      p.settings.Bounds.KeyLifetime,
		Reporter:         p.metrics,
		Log:              p.settings.Log,
	})
}
