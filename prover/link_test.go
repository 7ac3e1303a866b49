package prover_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"gotest.tools/v3/assert"
)

// Directions of a link.
const (
	toServer = "upstream"
	toClient = "downstream"
)

// link is a fault-injecting proxy in front of one address.
type link struct {
	proxy  *toxiproxy.Proxy
	listen string
}

// newLink starts a proxy in front of an address. It is stopped at the end of the
// test.
func newLink(t *testing.T, address string) *link {
	t.Helper()
	proxy := toxiproxy.NewProxy()
	proxy.Name = address
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = address
	assert.NilError(t, proxy.Start())
	t.Cleanup(proxy.Stop)
	return &link{proxy: proxy, listen: proxy.Listen}
}

// disconnect closes all connections and refuses new ones.
func (l *link) disconnect() { l.proxy.Stop() }

// heal removes all faults.
func (l *link) heal(t *testing.T) {
	t.Helper()
	l.proxy.Toxics.ResetToxics()
	if !l.proxy.Enabled {
		assert.NilError(t, l.proxy.Start())
	}
}

// toxic is a fault in the proxy's JSON format.
type toxic struct {
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Attributes map[string]any `json:"attributes"`
}

func (l *link) addToxic(t *testing.T, added toxic) {
	t.Helper()
	data, err := json.Marshal(added)
	assert.NilError(t, err)
	_, err = l.proxy.Toxics.AddToxicJson(bytes.NewReader(data))
	assert.NilError(t, err)
}

// blackhole drops all bytes of one direction and keeps the connections open.
func (l *link) blackhole(t *testing.T, direction string) {
	t.Helper()
	l.addToxic(t, toxic{Type: "timeout", Stream: direction, Attributes: map[string]any{"timeout": 0}})
}

// stallOpenConnections drops all bytes of the connections that are open now, in
// both directions and until they are closed. New connections work.
func (l *link) stallOpenConnections(t *testing.T) {
	t.Helper()
	until := time.Now().Add(stallCutoff).UnixMilli()
	for _, direction := range []string{toServer, toClient} {
		l.addToxic(t, toxic{Type: stallToxicName, Stream: direction, Attributes: map[string]any{"until": until}})
	}
}

// addLatency delays all bytes in both directions.
func (l *link) addLatency(t *testing.T, delay time.Duration) {
	t.Helper()
	for _, direction := range []string{toServer, toClient} {
		l.addToxic(t, toxic{Type: "latency", Stream: direction, Attributes: map[string]any{
			"latency": delay.Milliseconds(),
		}})
	}
}

const (
	stallToxicName = "forget"
	// stallCutoff is how long after the fault new connections still stall.
	stallCutoff = 100 * time.Millisecond
)

// stallToxic drops the bytes of connections that were opened before a time.
type stallToxic struct {
	// Until is a Unix time in milliseconds.
	Until int64 `json:"until"`
}

// Pipe implements toxics.Toxic.
func (f *stallToxic) Pipe(stub *toxics.ToxicStub) {
	if time.Now().UnixMilli() >= f.Until {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
		}
	}
}

// Cleanup implements toxics.CleanupToxic. It closes the stalled connection.
func (f *stallToxic) Cleanup(stub *toxics.ToxicStub) { stub.Close() }

func init() { toxics.Register(stallToxicName, new(stallToxic)) }
