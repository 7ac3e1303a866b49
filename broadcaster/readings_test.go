package broadcaster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/linker"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// newReader starts a broadcaster that serves readings with serve.
func newReader(t *testing.T, serve func(context.Context, surveyor.ReadingRequest) (surveyor.Reading, error)) *Broadcaster {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	b := New(Settings{
		Entry: address, Listen: address, Links: links, Router: router.New(router.Settings{}),
		ServeReading: serve, Wake: func() {}, Log: zap.NewNop(),
	})
	assert.NilError(t, b.Start(t.Context(), nil))
	t.Cleanup(func() { _ = b.Stop(time.Now().Add(time.Second)) })
	return b
}

// readingError is returned by a reader without a reading.
type readingError struct{}

func (*readingError) Error() string { return "no reading" }

func TestReadingComesFromFirstEntryOfGroup(t *testing.T) {
	const age = 300 * time.Millisecond
	upstream := surveyor.Upstream{Name: "e1", Incarnation: "1", State: surveyor.Leaving}
	cases := map[string]struct {
		reading       surveyor.Reading
		err           error
		wantUnchanged bool
		want          []surveyor.Upstream
	}{
		"listing":           {reading: surveyor.Reading{Upstreams: []surveyor.Upstream{upstream}}, want: []surveyor.Upstream{upstream}},
		"unchanged listing": {reading: surveyor.Reading{Unchanged: true}, wantUnchanged: true},
		"empty listing":     {reading: surveyor.Reading{}},
		"error":             {err: &readingError{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request := surveyor.ReadingRequest{Digest: 7, NotBefore: time.Now().Add(-time.Second)}
			var received surveyor.ReadingRequest
			serve := func(_ context.Context, r surveyor.ReadingRequest) (surveyor.Reading, error) {
				received = r
				c.reading.ReadAt = time.Now().Add(-age)
				return c.reading, c.err
			}
			// Groups are ordered by address.
			first, second := newReader(t, serve), newReader(t, serve)
			if first.settings.Listen > second.settings.Listen {
				first, second = second, first
			}
			first.SetPeers([]string{second.settings.Listen})
			second.SetPeers([]string{first.settings.Listen})
			_, err := first.RequestReading(t.Context(), request)
			var noReader *NoReaderError
			assert.Assert(t, errors.As(err, &noReader))
			startedAt := time.Now()
			reading, err := second.RequestReading(t.Context(), request)
			assert.Equal(t, received.Digest, request.Digest)
			assert.Assert(t, received.NotBefore.After(request.NotBefore.Add(-time.Millisecond)))
			if c.err != nil {
				assert.Assert(t, err != nil)
				// The reader is avoided for a while.
				_, err = second.RequestReading(t.Context(), request)
				assert.Assert(t, errors.As(err, &noReader))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, reading.Unchanged, c.wantUnchanged)
			assert.DeepEqual(t, reading.Upstreams, c.want)
			assert.Assert(t, reading.ReadAt.After(startedAt.Add(-age-time.Second)) && !reading.ReadAt.After(time.Now().Add(-age)))
		})
	}
}

func TestOneEntryPerGroupReadsPlatformList(t *testing.T) {
	const size = 16
	cases := map[string]struct{ entries, readers int }{
		"alone":                 {1, 1},
		"one group":             {16, 1},
		"one more than a group": {17, 2},
		"67 entries":            {67, 5},
		"890 entries":           {890, 56},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var all []string
			for i := range c.entries {
				all = append(all, fmt.Sprintf("10.%d.%d.%d:1", i%3, i/250, i%250))
			}
			readers, requests := 0, map[string]int{}
			for _, own := range all {
				peers := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return address == own })
				predecessors := groupPredecessors(own, peers, size)
				if len(predecessors) == 0 {
					readers++
					continue
				}
				requests[predecessors[0]]++
			}
			assert.Equal(t, readers, c.readers)
			for address, count := range requests {
				assert.Assert(t, count < size, address)
			}
		})
	}
}
