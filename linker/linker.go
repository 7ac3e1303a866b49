// Package linker keeps one gRPC connection per address and replaces a connection that has
// gone silent. A target is always one address; gRPC's name resolution and load balancing
// are not used.
package linker

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// windowBytes is the flow control window. A fixed window avoids the pings by which
	// gRPC would otherwise estimate the bandwidth at each message.
	windowBytes = 4 << 20
	// maxMessageBytes allows for a whole catalog.
	maxMessageBytes = 64 << 20
)

// Limits for clients that are no processes of the system.
const (
	// HandshakeTimeout bounds the time until a connection speaks the protocol.
	HandshakeTimeout = 5 * time.Second
	// MaxStreams bounds the calls in flight on one connection.
	MaxStreams = 1000
	// MaxHeaderListBytes bounds the header of a call.
	MaxHeaderListBytes = 16 << 10
)

// Backoff between attempts to connect. A process must be reconnected within a fraction of
// a second after its restart or after the end of a partition.
const (
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	connectTimeout = time.Second
)

// ReconnectOption returns the option that sets the backoff of reconnecting.
func ReconnectOption() grpc.DialOption {
	return grpc.WithConnectParams(grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  minBackoff,
			Multiplier: backoff.DefaultConfig.Multiplier,
			Jitter:     backoff.DefaultConfig.Jitter,
			MaxDelay:   maxBackoff,
		},
		MinConnectTimeout: connectTimeout,
	})
}

// ServerOptions returns the options for servers of linked processes.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(HandshakeTimeout),
		grpc.MaxConcurrentStreams(MaxStreams),
		grpc.MaxHeaderListSize(MaxHeaderListBytes),
	}
}

// Linker holds connections by address. It is safe for concurrent use.
type Linker struct {
	credentials credentials.TransportCredentials
	meter       *Meter

	mu    sync.Mutex
	links map[string]*grpc.ClientConn
}

// New returns a linker without connections. The connections are plain text if transport
// is nil. The meter counts their bytes.
func New(transport credentials.TransportCredentials, meter *Meter) *Linker {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return &Linker{credentials: transport, meter: meter, links: map[string]*grpc.ClientConn{}}
}

// Connect returns the connection to an IP address and port. It is opened by the first
// call that uses it. The error is an *AddressError.
func (l *Linker) Connect(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link, ok := l.links[address]; ok {
		return link, nil
	}
	link, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(l.credentials),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		ReconnectOption(),
		grpc.WithContextDialer(l.meter.dial),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, &AddressError{Address: address, Cause: err}
	}
	l.links[address] = link
	return link, nil
}

// Drop closes a connection that has gone silent, so that the next Connect opens a new
// one. A connection that has already replaced it is kept.
func (l *Linker) Drop(address string, silent *grpc.ClientConn) {
	l.mu.Lock()
	if l.links[address] == silent {
		delete(l.links, address)
	}
	l.mu.Unlock()
	// Close fails only if the connection is already closed.
	_ = silent.Close()
}

// Close closes all connections.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, link := range l.links {
		_ = link.Close()
		delete(l.links, address)
	}
}

// AddressError is returned if an address is invalid.
type AddressError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *AddressError) Error() string {
	return "address " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }
