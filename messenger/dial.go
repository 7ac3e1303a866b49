package messenger

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"burdocklink/linker"
)

// windowBytes is the flow control window. A fixed one saves the pings by which
// gRPC would measure the connection at each message.
const windowBytes = 4 << 20

// ServerOptions are what a server of the members' service should have.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
	}
}

// dial makes a connection of its own to an address, without a resolver.
func (m *Messenger) dial(address string) (*grpc.ClientConn, error) {
	transport := m.settings.Credentials
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transport),
		grpc.WithContextDialer(m.connect),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		linker.ReconnectOption(),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	)
}

func (m *Messenger) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := linker.Dialer(linker.DialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, sent: m.sent, received: m.received}, nil
}

// countedConn counts the bytes on a connection.
type countedConn struct {
	net.Conn
	sent     metrics.Counter
	received metrics.Counter
}

// Read reads and counts.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Inc(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Inc(int64(n))
	return n, err
}
