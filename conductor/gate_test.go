package conductor_test

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// gate stands on all connections of one process. While it is shut, bytes
// vanish without a sign, and connections of that time stay dead for good.
type gate struct{ shut atomic.Bool }

// gateConn is a connection behind a gate.
type gateConn struct {
	net.Conn
	gate *gate
	dead atomic.Bool
}

func (c *gateConn) silent() bool {
	if c.gate.shut.Load() {
		c.dead.Store(true)
	}
	return c.dead.Load()
}

func (c *gateConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

func (c *gateConn) Write(data []byte) (int, error) {
	if c.silent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// gateListener accepts connections behind a gate.
type gateListener struct {
	net.Listener
	gate *gate
}

func (l gateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gateConn{Conn: conn, gate: l.gate}, nil
}

// gateCredentials put the connections that a process dials behind its gate.
type gateCredentials struct {
	credentials.TransportCredentials
	gate *gate
}

func newGateCredentials(g *gate) credentials.TransportCredentials {
	return gateCredentials{TransportCredentials: insecure.NewCredentials(), gate: g}
}

func (c gateCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.TransportCredentials.ClientHandshake(ctx, authority, &gateConn{Conn: conn, gate: c.gate})
}

func (c gateCredentials) Clone() credentials.TransportCredentials { return c }
