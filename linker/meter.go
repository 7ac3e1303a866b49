package linker

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Names of the counters.
const (
	metricSent     = "link-bytes-sent"
	metricReceived = "link-bytes-received"
)

// Meter counts the bytes on connections between the system's own processes, including all
// framing above TCP.
type Meter struct {
	sent     metrics.Counter
	received metrics.Counter
}

// NewMeter returns a meter whose counters are registered in the registry.
func NewMeter(registry metrics.Registry) *Meter {
	return &Meter{
		sent:     metrics.GetOrRegisterCounter(metricSent, registry),
		received: metrics.GetOrRegisterCounter(metricReceived, registry),
	}
}

// Sent returns the bytes sent so far.
func (m *Meter) Sent() int64 { return m.sent.Count() }

// Received returns the bytes received so far.
func (m *Meter) Received() int64 { return m.received.Count() }

// Listen returns a listener that counts the bytes of its connections.
func (m *Meter) Listen(listener net.Listener) net.Listener {
	return &meteredListener{Listener: listener, meter: m}
}

// dial opens a connection that counts its bytes.
func (m *Meter) dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := Dialer(DialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: connection, meter: m}, nil
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection, which counts its bytes.
func (l *meteredListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: connection, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read counts the bytes received.
func (c *meteredConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.meter.received.Inc(int64(count))
	return count, err
}

// Write counts the bytes sent.
func (c *meteredConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.meter.sent.Inc(int64(count))
	return count, err
}
