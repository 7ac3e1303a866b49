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

// newReader returns a broadcaster whose answers a test gives.
func newReader(t *testing.T, answer func(context.Context, surveyor.ReadingRequest) (surveyor.Reading, error)) *Broadcaster {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	t.Cleanup(links.Close)
	b := New(Settings{
		Entry: address, Listen: address, Links: links, Router: router.New(router.Settings{}),
		Answer: answer, Wake: func() {}, Log: zap.NewNop(),
	})
	assert.NilError(t, b.Start(t.Context(), nil))
	t.Cleanup(func() { _ = b.Stop(time.Now().Add(time.Second)) })
	return b
}

// failedError says that a test's reader has no reading.
type failedError struct{}

func (*failedError) Error() string { return "no reading" }

func TestAReadingComesFromTheFirstOfTheGroup(t *testing.T) {
	const age = 300 * time.Millisecond
	upstream := surveyor.Upstream{Name: "e1", Incarnation: "1", State: surveyor.Leaving}
	cases := map[string]struct {
		answer  surveyor.Reading
		failure error
		same    bool
		want    []surveyor.Upstream
	}{
		"the list":      {answer: surveyor.Reading{Upstreams: []surveyor.Upstream{upstream}}, want: []surveyor.Upstream{upstream}},
		"the same list": {answer: surveyor.Reading{Unchanged: true}, same: true},
		"an empty list": {answer: surveyor.Reading{}},
		"a failure":     {failure: &failedError{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			asked := surveyor.ReadingRequest{Digest: 7, NotBefore: time.Now().Add(-time.Second)}
			var heard surveyor.ReadingRequest
			answer := func(_ context.Context, question surveyor.ReadingRequest) (surveyor.Reading, error) {
				heard = question
				c.answer.ReadAt = time.Now().Add(-age)
				return c.answer, c.failure
			}
			// the group's order is that of the addresses
			one, other := newReader(t, answer), newReader(t, answer)
			if one.settings.Listen > other.settings.Listen {
				one, other = other, one
			}
			one.Meet([]string{other.settings.Listen})
			other.Meet([]string{one.settings.Listen})
			_, err := one.Ask(t.Context(), asked)
			var nobody *NobodyError
			assert.Assert(t, errors.As(err, &nobody))
			began := time.Now()
			reading, err := other.Ask(t.Context(), asked)
			assert.Equal(t, heard.Digest, asked.Digest)
			assert.Assert(t, heard.NotBefore.After(asked.NotBefore.Add(-time.Millisecond)))
			if c.failure != nil {
				assert.Assert(t, err != nil)
				// it is not asked again at once
				_, err = other.Ask(t.Context(), asked)
				assert.Assert(t, errors.As(err, &nobody))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, reading.Unchanged, c.same)
			assert.DeepEqual(t, reading.Upstreams, c.want)
			assert.Assert(t, reading.ReadAt.After(began.Add(-age-time.Second)) && !reading.ReadAt.After(time.Now().Add(-age)))
		})
	}
}

func TestOneOfEachGroupReads(t *testing.T) {
	const size = 16
	cases := map[string]struct{ entries, readers int }{
		"alone":        {1, 1},
		"one group":    {16, 1},
		"and one more": {17, 2},
		"grown":        {67, 5},
		"in two years": {890, 56},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var all []string
			for at := range c.entries {
				all = append(all, fmt.Sprintf("10.%d.%d.%d:1", at%3, at/250, at%250))
			}
			readers, asked := 0, map[string]int{}
			for _, own := range all {
				peers := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return address == own })
				before := groupBefore(own, peers, size)
				if len(before) == 0 {
					readers++
					continue
				}
				asked[before[0]]++
			}
			assert.Equal(t, readers, c.readers)
			for address, count := range asked {
				assert.Assert(t, count < size, address)
			}
		})
	}
}
