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
	"burdocklink/poller"
	"burdocklink/proposer"
	"burdocklink/receiver"
	"burdocklink/registrar"
	"burdocklink/reporter"
	"burdocklink/router"
)

// EntrySettings are the checked settings of an entry.
type EntrySettings struct {
	Name             string
	AvailabilityZone string
	// PeerListen is the IP address and port for the other entries.
	PeerListen string
	// Peers lists the other entries' addresses, Control the control members'.
	Peers   []string
	Control []string
	// Callers bound what is taken from callers.
	Callers receiver.Settings
	// CallersTLS serves callers over TLS, which needs Certificates.
	CallersTLS bool
	// Keys tells whose key a request carries.
	Keys *authenticator.Authenticator
	// Certificates are nil for plain text.
	Certificates *certifier.Certifier
	Log          *zap.Logger
}

// Entry is an entry that has not started.
type Entry struct {
	Meter    *linker.Meter
	Follower *follower.Follower
	Gossiper *gossiper.Gossiper
	Receiver *receiver.Receiver
	// Services are in start order.
	Services []registrar.Service
}

// NewEntry puts an entry together.
func NewEntry(settings EntrySettings) *Entry {
	metrics := reporter.New(reporter.Settings{})
	meter := linker.NewMeter(metrics.Registry())
	links := linker.New(clientCredentials(settings.Certificates), meter)
	routes := router.New(router.Settings{
		AvailabilityZone: settings.AvailabilityZone,
		Seed:             xxhash.Sum64String(settings.Name),
		Entries:          len(settings.Peers) + 1,
	})
	admission := admitter.New(routes, admitter.Settings{})
	catalogs := follower.New(follower.Settings{
		Entry:            settings.Name,
		Incarnation:      uuid.NewString(),
		AvailabilityZone: settings.AvailabilityZone,
		Control:          settings.Control,
		Links:            links,
		Notify: func(catalog *cataloger.Catalog) {
			routes.Update(catalog)
			admission.Wake()
		},
		Demand: admission.Demand,
		Log:    settings.Log,
	})
	peers := gossiper.New(gossiper.Settings{
		Entry:       settings.Name,
		Listen:      settings.PeerListen,
		Peers:       settings.Peers,
		Links:       links,
		Meter:       meter,
		Credentials: peerCredentials(settings.Certificates),
		Follower:    catalogs,
		Dispatches:  func() map[string]int { return nil },
		Heard:       func(string, map[string]int) {},
		Log:         settings.Log,
	})
	calls := dispatcher.New(dispatcher.Settings{})
	reports := poller.New(poller.Settings{
		Seed:    xxhash.Sum64String(settings.Name),
		Catalog: catalogs.Catalog,
		Observe: routes.Observe,
		Failed: func(upstream cataloger.Upstream) {
			routes.Unreachable(upstream.Name, upstream.Incarnation, time.Now())
		},
		Wake:  admission.Wake,
		Calls: calls,
		Log:   settings.Log,
	})
	claims := proposer.New(proposer.Settings{
		Control: settings.Control,
		Links:   links,
		Leader:  catalogs.Leader,
	})
	callers := receiver.New(receiver.Config{
		Settings: settings.Callers,
		Log:      settings.Log,
		TLS:      callersTLS(settings),
		Catalog:  catalogs.Catalog,
		Ready:    func() error { return catalogs.Ready(time.Now(), peers) },
		Keys:     settings.Keys,
		Admitter: admission,
		Claims:   claims,
		Calls:    calls,
		Reporter: metrics,
	})
	return &Entry{
		Meter:    meter,
		Follower: catalogs,
		Gossiper: peers,
		Receiver: callers,
		Services: withCertificates(settings.Certificates,
			settings.Keys, admission, catalogs, peers, reports, callers),
	}
}
