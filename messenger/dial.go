package messenger

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"burdocklink/linker"
)

// windowBytes is the flow control window. A fixed size avoids the pings with which
// gRPC otherwise estimates the bandwidth at each message.
const windowBytes = 4 << 20

// ServerOptions returns the options for a gRPC server of the replication service.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(linker.HandshakeTimeout),
		grpc.MaxConcurrentStreams(linker.MaxStreams),
		grpc.MaxHeaderListSize(linker.MaxHeaderListBytes),
	}
}

// dial returns a new connection to an address, without name resolution.
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

// countedConn counts the bytes sent and received on a connection.
type countedConn struct {
	net.Conn
	sent     metrics.Counter
	received metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Inc(int64(n))
	return n, err
}
