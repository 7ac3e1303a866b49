package assembler

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"burdocklink/admitter"
	"burdocklink/authenticator"
	"burdocklink/cataloger"
	"burdocklink/certifier"
	"burdocklink/dispatcher"
	"burdocklink/follower"
	"burdocklink/gossiper"
	"burdocklink/linker"
	"burdocklink/observer"
	"burdocklink/poller"
	"burdocklink/proposer"
	"burdocklink/quarantiner"
	"burdocklink/receiver"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/reserver"
	"burdocklink/router"
)

// EntrySettings are the validated settings of an entry.
type EntrySettings struct {
	Name             string
	AvailabilityZone string
	// PeerListen is the IP address and port for the other entries.
	PeerListen string
	// Peers lists the addresses of the other entries and Control those of the control
	// members.
	Peers   []string
	Control []string
	// Callers are the listen address and limits for callers.
	Callers receiver.Settings
	// CallersTLS enables TLS for callers. It needs Certificates.
	CallersTLS bool
	// Keys authenticates requests.
	Keys *authenticator.Authenticator
	// Certificates is nil if connections are not encrypted.
	Certificates *certifier.Certifier
	Log          *zap.Logger
}

// Entry holds the services of an entry that has not started yet.
type Entry struct {
	Meter    *linker.Meter
	Follower *follower.Follower
	Gossiper *gossiper.Gossiper
	Receiver *receiver.Receiver
	// Services are in start order.
	Services []registrar.Service
}

// NewEntry returns an entry.
func NewEntry(settings EntrySettings) *Entry {
	parts := newEntryParts(settings)
	catalogs := parts.newFollower()
	peers := parts.newGossiper(catalogs)
	reports := parts.newPoller(catalogs)
	reservations := reserver.New(reserver.Settings{
		Entry:  settings.Name,
		Links:  parts.links,
		Leader: catalogs.Leader,
		Router: parts.routes,
		Wake:   parts.admission.Wake,
		Log:    settings.Log,
	})
	callers := parts.newReceiver(catalogs, peers)
	return &Entry{
		Meter:    parts.meter,
		Follower: catalogs,
		Gossiper: peers,
		Receiver: callers,
		Services: withCertificates(settings.Certificates,
			settings.Keys, parts.admission, catalogs, peers, reports, reservations, callers),
	}
}

// entryParts are the parts that several services of an entry share.
type entryParts struct {
	settings     EntrySettings
	metrics      *reporter.Reporter
	meter        *linker.Meter
	links        *linker.Linker
	routes       *router.Router
	admission    *admitter.Admitter
	calls        *dispatcher.Dispatcher
	observations *observer.Observer
	quarantine   *quarantiner.Quarantiner
}

func newEntryParts(settings EntrySettings) *entryParts {
	metrics := reporter.New(reporter.Settings{})
	meter := linker.NewMeter(metrics.Registry())
	routes := router.New(router.Settings{
		AvailabilityZone: settings.AvailabilityZone,
		Seed:             xxhash.Sum64String(settings.Name),
		Entries:          len(settings.Peers) + 1,
	})
	p := &entryParts{
		settings:  settings,
		metrics:   metrics,
		meter:     meter,
		links:     linker.New(clientCredentials(settings.Certificates), meter),
		routes:    routes,
		admission: admitter.New(routes, admitter.Settings{}),
		calls:     dispatcher.New(dispatcher.Settings{}),
	}
	p.observations = observer.New(observer.Settings{
		Router:   p.routes,
		Wake:     p.admission.Wake,
		Forget:   p.calls.CloseIdle,
		Registry: metrics.Registry(),
		Log:      settings.Log,
	})
	p.quarantine = quarantiner.New(quarantiner.Settings{
		Entry:   settings.PeerListen,
		Metrics: metrics.Registry(),
		Log:     settings.Log,
	})
	p.quarantine.SetPeers(settings.Peers)
	return p
}

func (p *entryParts) newFollower() *follower.Follower {
	return follower.New(follower.Settings{
		Entry:            p.settings.Name,
		Incarnation:      uuid.NewString(),
		AvailabilityZone: p.settings.AvailabilityZone,
		Control:          p.settings.Control,
		Links:            p.links,
		OnCatalog:        p.notify,
		Demand:           p.admission.Demand,
		OnLimits:         p.mergeLimits,
		Log:              p.settings.Log,
	})
}

// notify passes a catalog that came into force to the router and wakes waiting
// requests.
func (p *entryParts) notify(catalog *cataloger.Catalog) {
	p.routes.Update(catalog)
	p.admission.Wake()
}

// mergeLimits merges the upstream rate limits that a control member observed.
func (p *entryParts) mergeLimits(member string, observed []router.ObservedLimit) {
	if p.routes.MergeLimits(time.Now(), member, observed) {
		p.admission.Wake()
	}
}

func (p *entryParts) newGossiper(catalogs *follower.Follower) *gossiper.Gossiper {
	return gossiper.New(gossiper.Settings{
		Entry:       p.settings.Name,
		Listen:      p.settings.PeerListen,
		Peers:       p.settings.Peers,
		Links:       p.links,
		Meter:       p.meter,
		Credentials: peerCredentials(p.settings.Certificates),
		Follower:    catalogs,
		Quarantine:  p.quarantine,
		Log:         p.settings.Log,
	})
}

func (p *entryParts) newPoller(catalogs *follower.Follower) *poller.Poller {
	return poller.New(poller.Settings{
		Seed:          xxhash.Sum64String(p.settings.Name),
		Catalog:       catalogs.Catalog,
		RateLimited:   p.hasRateLimit,
		Observe:       p.routes.Observe,
		OnUnreachable: p.markUnreachable,
		Wake:          p.admission.Wake,
		Calls:         p.calls,
		Log:           p.settings.Log,
	})
}

// hasRateLimit reports whether an upstream announced a rate limit.
func (p *entryParts) hasRateLimit(upstream cataloger.Upstream) bool {
	return p.routes.Limit(router.Choice{Upstream: upstream.Name, Incarnation: upstream.Incarnation}).Announced
}

func (p *entryParts) markUnreachable(upstream cataloger.Upstream) {
	p.routes.Unreachable(upstream.Name, upstream.Incarnation, time.Now())
}

func (p *entryParts) newReceiver(catalogs *follower.Follower, peers *gossiper.Gossiper) *receiver.Receiver {
	claims := proposer.New(proposer.Settings{
		Control: p.settings.Control,
		Links:   p.links,
		Leader:  catalogs.Leader,
	})
	return receiver.New(receiver.Config{
		Settings:      p.settings.Callers,
		Log:           p.settings.Log,
		TLS:           callerTLSConfig(p.settings),
		Catalog:       catalogs.Catalog,
		Ready:         func() error { return catalogs.Ready(time.Now(), peers) },
		Authenticator: p.settings.Keys,
		Admitter:      p.admission,
		Claims:        claims,
		Upstreams:     p.observations,
		Dispatcher:    p.calls,
		Quarantine:    p.quarantine,
		Reporter:      p.metrics,
	})
}
