package conductor_test

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// networkFault drops all data on the connections of a process while it is active,
// without reporting errors. A connection that was used during that time never
// recovers.
type networkFault struct{ active atomic.Bool }

// faultyConn is a connection with a network fault.
type faultyConn struct {
	net.Conn
	fault  *networkFault
	broken atomic.Bool
}

func (c *faultyConn) drops() bool {
	if c.fault.active.Load() {
		c.broken.Store(true)
	}
	return c.broken.Load()
}

func (c *faultyConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || !c.drops() {
			return n, err
		}
	}
}

func (c *faultyConn) Write(data []byte) (int, error) {
	if c.drops() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// faultyListener accepts connections with a network fault.
type faultyListener struct {
	net.Listener
	fault *networkFault
}

func (l faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, fault: l.fault}, nil
}

// faultyCredentials add a network fault to the connections that a process dials.
type faultyCredentials struct {
	credentials.TransportCredentials
	fault *networkFault
}

func newFaultyCredentials(fault *networkFault) credentials.TransportCredentials {
	return faultyCredentials{TransportCredentials: insecure.NewCredentials(), fault: fault}
}

func (c faultyCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.TransportCredentials.ClientHandshake(ctx, authority, &faultyConn{Conn: conn, fault: c.fault})
}

func (c faultyCredentials) Clone() credentials.TransportCredentials { return c }
