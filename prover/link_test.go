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

// link is a proxy on the way to one address.
type link struct {
	proxy  *toxiproxy.Proxy
	listen string
}

// newLink opens a proxy before an address; it ends with the test.
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

// heal takes all faults away.
func (l *link) heal(t *testing.T) {
	t.Helper()
	l.proxy.Toxics.ResetToxics()
	if !l.proxy.Enabled {
		assert.NilError(t, l.proxy.Start())
	}
}

// toxic is a fault as the proxy reads it.
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

// blackhole swallows all bytes of one direction and keeps the connections.
func (l *link) blackhole(t *testing.T, direction string) {
	t.Helper()
	l.addToxic(t, toxic{Type: "timeout", Stream: direction, Attributes: map[string]any{"timeout": 0}})
}

// stallOpenConnections leaves the connections that are open now silent for good, in both
// directions, while new ones work.
func (l *link) stallOpenConnections(t *testing.T) {
	t.Helper()
	until := time.Now().Add(stallCutoff).UnixMilli()
	for _, direction := range []string{toServer, toClient} {
		l.addToxic(t, toxic{Type: stallToxicName, Stream: direction, Attributes: map[string]any{"until": until}})
	}
}

// addLatency delays all bytes of both directions.
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
	// stallCutoff is how long connections count as old after the fault.
	stallCutoff = 100 * time.Millisecond
)

// stallToxic swallows the bytes of connections that were open before a time.
type stallToxic struct {
	// Until is in milliseconds of Unix time.
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

// Cleanup implements toxics.CleanupToxic: the silent connections are gone.
func (f *stallToxic) Cleanup(stub *toxics.ToxicStub) { stub.Close() }

func init() { toxics.Register(stallToxicName, new(stallToxic)) }
