// Package follower keeps an entry's catalog in step with the control members.
// It never goes back to an earlier revision, and after a start it puts none in
// force that a quorum has not vouched for.
package follower

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/linker"
	"burdocklink/placer"
	"burdocklink/registrar"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// Name is the service's name in the kernel.
const Name = "follower"

// Settings are what a follower needs.
type Settings struct {
	// Entry is this entry's name; Incarnation is unique for each start.
	Entry            string
	Incarnation      string
	AvailabilityZone string
	// Control lists the control members' addresses.
	Control []string
	Links   *linker.Linker
	// OnCatalog is called on the follower's goroutine with each catalog that
	// comes into force.
	OnCatalog func(*cataloger.Catalog)
	// Demand returns what the entry was asked for since its start.
	Demand func() placer.Demand
	// Loads returns what the entry has in flight; nil where it does not tell.
	Loads func() []router.Load
	// PeerAddress is where the entry takes notes of other entries; empty where
	// it takes none.
	PeerAddress string
	// OnPeers takes in the addresses at which the other entries take notes; nil for
	// nobody.
	OnPeers func([]string)
	// OnHoldings takes in what engines hold, and Stand until when what was taken in
	// stands at least; nil for nobody.
	OnHoldings          func([]surveyor.Told)
	OnHoldingsConfirmed func(until time.Time)
	// OnListing takes in what changed in the platform's list, and ListRead when the
	// list was read that was taken in so far; nil for nobody.
	OnListing  func(surveyor.Changes)
	OnListRead func(at time.Time)
	// OnLimits takes in what a member heard of upstreams' limits; nil for nobody.
	OnLimits func(member string, heard []router.HeardLimit)
	// ReportInterval is the time between two reports of the entry, TellDemand between two
	// of demand. Zero takes the standard ones.
	ReportInterval time.Duration
	DemandInterval time.Duration
	Log            *zap.Logger
}

// Confirmation says that a quorum vouched for a revision at a time.
type Confirmation struct {
	Revision uint64
	At       time.Time
}

// Offer is a catalog from a peer. Confirmation is what the peer knows of the
// quorum; Catalog may be nil.
type Offer struct {
	Catalog      *cataloger.Catalog
	Confirmation Confirmation
}

// Follower holds the catalog in force.
type Follower struct {
	settings Settings
	offers   chan Offer
	stop     chan struct{}
	stopped  chan struct{}
	started  time.Time

	// latest is the newest catalog; inForce is nil until a quorum vouched for
	// it. The loop writes both, traffic reads them.
	latest    atomic.Pointer[cataloger.Catalog]
	inForce   atomic.Pointer[cataloger.Catalog]
	confirmed atomic.Pointer[Confirmation]
	leader    atomic.Pointer[string]
	// entries is how many entries there are, as last heard.
	entries atomic.Int64
	// control lists the control members' addresses.
	control atomic.Pointer[[]string]
}

// offerQueueLength is how many offers of peers may wait for the loop.
const offerQueueLength = 16

// New returns a follower that has not started.
func New(settings Settings) *Follower {
	if settings.ReportInterval <= 0 {
		settings.ReportInterval = defaultReportInterval
	}
	if settings.DemandInterval <= 0 {
		settings.DemandInterval = defaultDemandInterval
	}
	f := &Follower{
		settings: settings,
		offers:   make(chan Offer, offerQueueLength),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
		started:  time.Now(),
	}
	f.latest.Store(cataloger.New())
	f.confirmed.Store(&Confirmation{})
	unknown := ""
	f.leader.Store(&unknown)
	f.control.Store(&settings.Control)
	return f
}

// String names the service.
func (f *Follower) String() string { return Name }

// Start begins to follow; the catalog may come into force later.
func (f *Follower) Start(context.Context, *registrar.Registrar) error {
	go f.loop()
	return nil
}

// Stop ends the stream.
func (f *Follower) Stop(deadline time.Time) error {
	close(f.stop)
	select {
	case <-f.stopped:
	case <-time.After(time.Until(deadline)):
	}
	return nil
}

// Catalog returns the catalog in force, or nil where none is.
func (f *Follower) Catalog() *cataloger.Catalog { return f.inForce.Load() }

// Latest returns the newest catalog, which may not be in force yet.
func (f *Follower) Latest() *cataloger.Catalog { return f.latest.Load() }

// Confirmed returns the last confirmation.
func (f *Follower) Confirmed() Confirmation { return *f.confirmed.Load() }

// Leader returns the address of the leader as last heard, or an empty string.
func (f *Follower) Leader() string { return *f.leader.Load() }

// SetControl sets the addresses of control members, as when the settings name others
// than before.
func (f *Follower) SetControl(control []string) {
	if len(control) > 0 {
		f.control.Store(&control)
	}
}

// EnqueueOffer hands over what a peer offers. It drops the offer where the follower
// is busy; peers offer again.
func (f *Follower) EnqueueOffer(offer Offer) {
	select {
	case f.offers <- offer:
	default:
	}
}
