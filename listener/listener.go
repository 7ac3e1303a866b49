// Package listener accepts connections from clients that need not keep any limits. It bounds
// the number of connections and the memory of request headers, and closes connections that
// make no progress while others need their place.
package listener

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/budgeter"
)

const (
	// DefaultConnections is the limit of connections if none is set.
	DefaultConnections = 1024
	// sourceFraction is the part of the connections that one source address may use.
	sourceFraction = 0.5
	// stallTime is how long a client may read nothing of an answer.
	stallTime = 10 * time.Second
	// chunkBytes is how much is written under one stallTime. A slow client reads that much
	// in time, however long its whole answer takes.
	chunkBytes = 32 << 10
	// receiveBufferBytes bounds what a client can send ahead of what is read.
	receiveBufferBytes = 64 << 10
)

// Settings configure a Listener.
type Settings struct {
	// Connections is the maximum number of connections; zero means DefaultConnections.
	Connections int
	// Budget bounds the memory of headers; nil for no bound.
	Budget *budgeter.Budget
	// Encrypted is true if headers can't be read on the connection itself.
	Encrypted bool
	// Registry receives the counters; nil for none.
	Registry metrics.Registry
	Log      *zap.Logger
}

// Listener accepts bounded connections. The server that uses it must call Track for each
// change of a connection's state.
type Listener struct {
	net.Listener
	settings Settings
	closed   metrics.Counter
	refused  metrics.Counter

	mutex       sync.Mutex
	connections map[*connection]struct{}
	sources     map[string]int
}

// New returns a listener that accepts from another one.
func New(inner net.Listener, settings Settings) *Listener {
	if settings.Connections <= 0 {
		settings.Connections = DefaultConnections
	}
	if settings.Registry == nil {
		settings.Registry = metrics.NewRegistry()
	}
	return &Listener{
		Listener:    inner,
		settings:    settings,
		closed:      metrics.GetOrRegisterCounter("connections-closed-for-others", settings.Registry),
		refused:     metrics.GetOrRegisterCounter("connections-refused", settings.Registry),
		connections: map[*connection]struct{}{},
		sources:     map[string]int{},
	}
}

// Accept waits for the next connection. If there are too many, one that serves no request
// is closed for it, or else the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConnection(l, accepted)
		victim, admitted := l.add(c)
		if victim != nil {
			l.closed.Inc(1)
			victim.abort()
		}
		if admitted {
			return c, nil
		}
		l.refused.Inc(1)
		_ = accepted.Close()
	}
}

// add records a connection. It returns one to be closed for it, and whether the new one is
// admitted.
func (l *Listener) add(c *connection) (victim *connection, admitted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	full := len(l.connections) >= l.settings.Connections
	sourceFull := l.sources[c.source] >= max(1, int(sourceFraction*float64(l.settings.Connections)))
	if full || sourceFull {
		victim = l.victim(sourceFull, c.source)
		if victim == nil {
			return nil, false
		}
		l.remove(victim)
	}
	l.connections[c] = struct{}{}
	l.sources[c.source]++
	return victim, true
}

// victim returns the connection that has waited longest for a request, or for the rest of
// its header; nil if all serve requests. If ofSource is true, only those of a source are
// considered. The mutex must be held.
func (l *Listener) victim(ofSource bool, source string) *connection {
	var oldest *connection
	var since time.Time
	for c := range l.connections {
		if ofSource && c.source != source {
			continue
		}
		if waiting, at := c.waitingSince(); waiting && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	return oldest
}

// remove forgets a connection. The mutex must be held.
func (l *Listener) remove(c *connection) {
	if _, known := l.connections[c]; !known {
		return
	}
	delete(l.connections, c)
	if l.sources[c.source]--; l.sources[c.source] <= 0 {
		delete(l.sources, c.source)
	}
}

// forget removes a connection that has been closed.
func (l *Listener) forget(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.remove(c)
}

// Track records that a connection serves a request or waits for one. It is the ConnState
// of an http.Server.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.awaitRequest(time.Now())
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.connections)
}

// sourceOf returns the IP address of a client.
func sourceOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}
