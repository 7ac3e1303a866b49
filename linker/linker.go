// Package linker keeps one gRPC connection for each address and replaces a
// connection that has gone silent. A target is always one address; gRPC's own
// name resolution and balancing stay unused.
package linker

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Sizes of a connection.
const (
	// windowBytes is the flow control window. A fixed one saves the pings by
	// which gRPC would measure the connection at each message.
	windowBytes = 4 << 20
	// maxMessageBytes is the largest message taken, a whole catalog.
	maxMessageBytes = 64 << 20
)

// Waits between two tries to connect. A process that has been restarted, or has
// lost a partition, must be found again within a fraction of a second.
const (
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	connectTimeout = time.Second
)

// ReconnectOption sets how soon a broken connection is opened again.
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

// ServerOptions are what a server of linked processes should have.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
	}
}

// Linker holds connections by address. It is safe for concurrent use.
type Linker struct {
	credentials credentials.TransportCredentials
	meter       *Meter

	mu    sync.Mutex
	links map[string]*grpc.ClientConn
}

// New returns a linker without connections. Without credentials the
// connections are plain text. The meter counts their bytes.
func New(transport credentials.TransportCredentials, meter *Meter) *Linker {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return &Linker{credentials: transport, meter: meter, links: map[string]*grpc.ClientConn{}}
}

// Connect returns the connection to an IP address and port; it is opened by
// the first call that uses it.
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

// Drop closes a connection that went silent, so that the next Connect opens a
// new one. It does nothing where the connection was replaced already.
func (l *Linker) Drop(address string, silent *grpc.ClientConn) {
	l.mu.Lock()
	if l.links[address] == silent {
		delete(l.links, address)
	}
	l.mu.Unlock()
	// Close reports only that the connection was closed before.
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

// AddressError says that an address can't be used.
type AddressError struct {
	Address string
	Cause   error
}

// Error describes the address.
func (e *AddressError) Error() string {
	return "address " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }
