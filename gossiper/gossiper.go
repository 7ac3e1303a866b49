// Package gossiper lets entries tell each other what they know: the newest
// catalog and the quorum's last confirmation.
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
	"burdocklink/registrar"
)

// Name is the service's name in the kernel.
const Name = "gossiper"

// Times of the exchange.
const (
	// exchangeInterval is the time between two rounds.
	exchangeInterval = time.Second
	// exchangeTimeout is the longest wait for a peer's digest.
	exchangeTimeout = time.Second
	// attemptLifetime is how long an answer or its absence counts.
	attemptLifetime = 8 * time.Second
	// minPingInterval is the least interval at which peers may ping.
	minPingInterval = time.Second
)

// peersPerRound is how many peers get a digest in one round, whatever the number
// of entries, so that the traffic of an entry does not grow with the fleet.
const peersPerRound = 2

// Settings are what a gossiper needs.
type Settings struct {
	Entry string
	// Listen is the IP address and port for the other entries.
	Listen string
	// Peers lists the addresses of the other entries.
	Peers       []string
	Links       *linker.Linker
	Meter       *linker.Meter
	Credentials credentials.TransportCredentials
	Follower    *follower.Follower
	Log         *zap.Logger
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
	return &Gossiper{settings: settings, attempts: newAttemptTable(), stop: make(chan struct{})}
}

// String names the service.
func (g *Gossiper) String() string { return Name }

// Address returns the address that the gossiper listens at.
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

// Majority is true while more than half of the entries tried lately, this one
// included, are heard. All entries are tried in turn; with few of them that is
// a majority of all.
func (g *Gossiper) Majority() bool {
	answered, tried := g.attempts.count(time.Now())
	return 2*(answered+1) > tried+1
}

func (g *Gossiper) runServer() {
	if err := g.server.Serve(g.settings.Meter.Listen(g.listener)); err != nil {
		g.settings.Log.Warn("peer service ended", zap.Error(err))
	}
}

// loop tries the peers in turn until the gossiper stops.
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

// runExchange swaps digests with one peer and notes whether it answered.
func (g *Gossiper) runExchange(peer string) {
	err := g.exchange(peer)
	g.attempts.record(peer, err == nil, time.Now())
	if err != nil {
		g.settings.Log.Debug("no digest", zap.String("peer", peer), zap.Error(err))
	}
}
