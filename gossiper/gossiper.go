// Package gossiper lets entries tell each other what they know: the newest
// catalog, the quorum's last confirmation and their own dispatches.
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
	// exchangeInterval is the time between two digests to one peer.
	exchangeInterval = 500 * time.Millisecond
	// exchangeLimit is the longest wait for a peer's digest.
	exchangeLimit = time.Second
	// heardLimit is how long a peer counts as heard.
	heardLimit = 2500 * time.Millisecond
	// pingInterval is the least interval at which peers may ping.
	pingInterval = time.Second
)

// Settings are what a gossiper needs.
type Settings struct {
	Entry string
	// Listen is the IP address and port for the other entries.
	Listen string
	// Peers lists the addresses of the other entries.
	Peers       []string
	Links       *linker.Linker
	Credentials credentials.TransportCredentials
	Follower    *follower.Follower
	// Dispatches returns the requests this entry has running, by upstream.
	Dispatches func() map[string]int
	// Heard is called with each peer's dispatches.
	Heard func(entry string, dispatches map[string]int)
	Log   *zap.Logger
}

// Gossiper exchanges digests with the other entries.
type Gossiper struct {
	wire.UnimplementedPeerServer

	settings Settings
	server   *grpc.Server
	listener net.Listener
	heard    *heardTable
	stop     chan struct{}
}

// New returns a gossiper that has not started.
func New(settings Settings) *Gossiper {
	return &Gossiper{settings: settings, heard: newHeardTable(), stop: make(chan struct{})}
}

// String names the service.
func (g *Gossiper) String() string { return Name }

// Address returns the address that the gossiper listens at.
func (g *Gossiper) Address() string { return g.listener.Addr().String() }

// Start listens and begins to exchange digests.
func (g *Gossiper) Start(context.Context, *registrar.Registrar) error {
	listener, err := net.Listen("tcp", g.settings.Listen)
	if err != nil {
		return &ListenError{Address: g.settings.Listen, Cause: err}
	}
	g.listener = listener
	options := []grpc.ServerOption{grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
		MinTime:             pingInterval,
		PermitWithoutStream: true,
	})}
	if g.settings.Credentials != nil {
		options = append(options, grpc.Creds(g.settings.Credentials))
	}
	g.server = grpc.NewServer(options...)
	wire.RegisterPeerServer(g.server, g)
	go g.runServer()
	for _, peer := range g.settings.Peers {
		go g.loop(peer)
	}
	return nil
}

// Stop ends the exchange.
func (g *Gossiper) Stop(time.Time) error {
	close(g.stop)
	g.server.Stop()
	return nil
}

// Majority is true while more than half of all entries, this one included,
// are heard.
func (g *Gossiper) Majority() bool {
	heard := g.heard.count(time.Now())
	return 2*(heard+1) > len(g.settings.Peers)+1
}

func (g *Gossiper) runServer() {
	if err := g.server.Serve(g.listener); err != nil {
		g.settings.Log.Warn("peer service ended", zap.Error(err))
	}
}

// loop exchanges digests with one peer until the gossiper stops.
func (g *Gossiper) loop(peer string) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			if err := g.exchange(peer); err != nil {
				g.settings.Log.Debug("no digest", zap.String("peer", peer), zap.Error(err))
			}
		}
	}
}

// ListenError says that an address can't be listened at.
type ListenError struct {
	Address string
	Cause   error
}

// Error describes the address.
func (e *ListenError) Error() string { return "listen at " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
