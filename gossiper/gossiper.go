// Package gossiper distributes the latest catalog, the quorum's last confirmation and
// the known crashes of upstreams among entries, so that they also reach entries without
// a control member.
package gossiper

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"burdocklink/encoder/wire"
	"burdocklink/follower"
	"burdocklink/linker"
	"burdocklink/quarantiner"
	"burdocklink/registrar"
)

// Name is the service name.
const Name = "gossiper"

// Intervals and limits of the exchange.
const (
	// exchangeInterval is the interval between rounds.
	exchangeInterval = time.Second
	// exchangeTimeout limits an exchange with one peer.
	exchangeTimeout = time.Second
	// attemptLifetime is the time for which the result of an attempt counts.
	attemptLifetime = 8 * time.Second
	// minPingInterval is the shortest keepalive interval that peers may use.
	minPingInterval = time.Second
)

// peersPerRound is the number of peers contacted in one round. It is fixed, so that
// an entry's traffic does not grow with the fleet.
const peersPerRound = 2

// Settings configure a Gossiper.
type Settings struct {
	Entry string
	// Listen is the IP address and port on which other entries connect.
	Listen string
	// Peers lists the addresses of the other entries.
	Peers       []string
	Links       *linker.Linker
	Meter       *linker.Meter
	Credentials credentials.TransportCredentials
	Follower    *follower.Follower
	// Quarantine shares what crashed upstreams; nil if that is not shared.
	Quarantine *quarantiner.Quarantiner
	Log        *zap.Logger
}

// Gossiper exchanges digests with the other entries.
type Gossiper struct {
	wire.UnimplementedPeerServer

	settings Settings
	server   *grpc.Server
	listener net.Listener
	attempts *attemptTable
	stop     chan struct{}
}

// New returns a gossiper that has not started.
func New(settings Settings) *Gossiper {
	if settings.Quarantine == nil {
		settings.Quarantine = quarantiner.New(quarantiner.Settings{})
	}
	return &Gossiper{settings: settings, attempts: newAttemptTable(), stop: make(chan struct{})}
}

// String returns the service name.
func (g *Gossiper) String() string { return Name }

// Address returns the address on which the gossiper listens.
func (g *Gossiper) Address() string { return g.listener.Addr().String() }

// Start listens and begins to exchange digests.
func (g *Gossiper) Start(context.Context, *registrar.Registrar) error {
	listener, err := linker.Listen(g.settings.Listen)
	if err != nil {
		return err
	}
	g.listener = listener
	options := append(linker.ServerOptions(),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPingInterval,
			PermitWithoutStream: true,
		}),
	)
	if g.settings.Credentials != nil {
		options = append(options, grpc.Creds(g.settings.Credentials))
	}
	g.server = grpc.NewServer(options...)
	wire.RegisterPeerServer(g.server, g)
	go g.runServer()
	go g.loop()
	return nil
}

// Stop ends the exchange.
func (g *Gossiper) Stop(time.Time) error {
	close(g.stop)
	g.server.Stop()
	return nil
}

// Majority reports whether more than half of the entries tried within
// attemptLifetime, this one included, answered. Entries are tried in turn, so in a
// small fleet this is a majority of all entries.
func (g *Gossiper) Majority() bool {
	answered, tried := g.attempts.count(time.Now())
	return 2*(answered+1) > tried+1
}

func (g *Gossiper) runServer() {
	if err := g.server.Serve(g.settings.Meter.Listen(g.listener)); err != nil {
		g.settings.Log.Warn("peer server stopped", zap.Error(err))
	}
}

// loop exchanges digests with the peers in turn until the gossiper stops.
func (g *Gossiper) loop() {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	next := 0
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			for range min(peersPerRound, len(g.settings.Peers)) {
				go g.runExchange(g.settings.Peers[next%len(g.settings.Peers)])
				next++
			}
		}
	}
}

// runExchange exchanges digests with one peer and records whether it answered.
func (g *Gossiper) runExchange(peer string) {
	err := g.exchange(peer)
	g.attempts.record(peer, err == nil, time.Now())
	if err != nil {
		g.settings.Log.Debug("digest exchange failed", zap.String("peer", peer), zap.Error(err))
	}
}
