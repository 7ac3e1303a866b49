package historian_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/historian"
	"burdocklink/linker"
	"burdocklink/router"
)

// leader is a stand-in for a control member.
type leader struct {
	wire.UnimplementedControlServer
	address string

	mutex    sync.Mutex
	archive  *historian.Archive
	releases map[cataloger.ReleaseKey]cataloger.Release
	term     uint64
	leading  bool
	// received counts the streams in all calls.
	received int
}

func (l *leader) Streams(_ context.Context, request *wire.StreamsRequest) (*wire.StreamsReply, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.leading {
		return &wire.StreamsReply{}, nil
	}
	l.received += len(request.GetBegun())
	l.archive.Record(encoder.DecodeStreams(request.GetBegun()), time.Now())
	reply := &wire.StreamsReply{Leading: true, Term: l.term}
	if len(request.GetServices()) == 0 {
		return reply, nil
	}
	switch answer := l.archive.Find(request.GetFind(), request.GetServices(), l.term, l.releases, time.Now()).(type) {
	case historian.Known:
		reply.Found = encoder.EncodeStream(request.GetFind(), answer.Stream)
	case historian.Unknown:
		reply.Final = true
	}
	return reply, nil
}

// lead lets the member lead a later term with an empty memory.
func (l *leader) lead(leading bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leading, l.term, l.archive = leading, l.term+1, historian.NewArchive()
	l.archive.SetListed(l.term, map[string][]string{"s": {"v1", "v2"}}, time.Now())
}

func (l *leader) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.received
}

func newLeader(t *testing.T, versions ...string) *leader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	goneAt := map[string]time.Time{}
	for _, version := range versions {
		goneAt[version] = time.Time{}
	}
	l := &leader{address: listener.Addr().String(), releases: releasesOf(goneAt), archive: historian.NewArchive(), leading: true, term: 1}
	l.archive.SetListed(1, map[string][]string{"s": versions}, time.Now().Add(-time.Minute))
	server := grpc.NewServer()
	wire.RegisterControlServer(server, l)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return l
}

// startEntry starts the historian of an entry that knows two listed versions.
func startEntry(t *testing.T, l *leader, listed ...string) *historian.Historian {
	t.Helper()
	links := linker.New(nil, linker.NewMeter(metrics.NewRegistry()))
	h := historian.New(historian.Settings{
		Entry: "entry", Links: links, Leader: func() string { return l.address },
		Listed: func(string) []string { return listed }, Log: zap.NewNop(),
	})
	h.SetReleases(l.releases)
	assert.NilError(t, h.Start(t.Context(), nil))
	t.Cleanup(func() {
		_ = h.Stop(time.Now())
		links.Close()
	})
	return h
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

func TestStreamsOfKilledEntriesAreKnownToOthers(t *testing.T) {
	l := newLeader(t, "v1", "v2")
	killed, other := startEntry(t, l, "v1", "v2"), startEntry(t, l, "v1", "v2")
	killed.Begun("r1", stream("s", "v2"))
	eventually(t, func() bool { return l.count() == 1 })
	found, err := other.Find(t.Context(), "r1", []string{"s"})
	assert.NilError(t, err)
	assert.Equal(t, found, stream("s", "v2"))
	_, err = other.Find(t.Context(), "r2", []string{"s"})
	var unknown *historian.UnknownOriginError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Assert(t, unknown.RetryAt.IsZero())
}

func TestNewLeaderIsSentEarlierStreams(t *testing.T) {
	l := newLeader(t, "v1", "v2")
	entry := startEntry(t, l, "v1", "v2")
	entry.Begun("r1", stream("s", "v2"))
	eventually(t, func() bool { return l.count() == 1 })
	l.lead(true)
	found, err := startEntry(t, l, "v1", "v2").Find(t.Context(), "r1", []string{"s"})
	assert.NilError(t, err)
	assert.Equal(t, found, stream("s", "v2"))
}

func TestStreamsBegunBeforeASecondVersionAppearsAreSent(t *testing.T) {
	l := newLeader(t, "v1")
	entry := startEntry(t, l, "v1")
	for _, id := range []string{"r1", "r2", "r3"} {
		entry.Begun(id, stream("s", "v1"))
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, l.count(), 0)
	entry.SetReleases(releasesOf(map[string]time.Time{"v1": {}, "v2": {}}))
	eventually(t, func() bool { return l.count() == 3 })
}

func TestStreamIsSoughtUntilThereIsALeader(t *testing.T) {
	l := newLeader(t, "v1", "v2")
	l.lead(false)
	entry := startEntry(t, l, "v1", "v2")
	started := time.Now()
	_, err := entry.Find(t.Context(), "r1", []string{"s"})
	var unknown *historian.UnknownOriginError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Assert(t, !unknown.RetryAt.IsZero())
	assert.Assert(t, time.Since(started) >= 2*time.Second)

	entry.Begun("r2", router.Stream{Service: "s", Origin: router.Origin{Incarnation: "u@1"}})
	found, err := entry.Find(t.Context(), "r2", []string{"s"})
	assert.NilError(t, err)
	assert.Equal(t, found.Origin.Incarnation, "u@1")
}
