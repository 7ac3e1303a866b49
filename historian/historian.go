package historian

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/registrar"
	"burdocklink/router"
)

// Name is the service's name in the kernel.
const Name = "historian"

const (
	// entryLimit is the number of streams that an entry keeps in each of two generations.
	entryLimit = 1 << 14
	// batchTime is how long new streams are collected before they are sent to the leader.
	batchTime = 20 * time.Millisecond
	// maxBatch is the number of streams in one call.
	maxBatch = 1024
	// checkInterval is the time between two checks of which versions are in use, and
	// between two calls to the leader while several are, so that a new leader is noticed.
	checkInterval = 300 * time.Millisecond
	// callTimeout bounds one call to the leader.
	callTimeout = 500 * time.Millisecond
	// findTimeout bounds the search for a stream, and findInterval is the time between two
	// calls for it. A new leader is elected within findTimeout.
	findTimeout  = 2 * time.Second
	findInterval = 100 * time.Millisecond
)

// Settings configure a Historian.
type Settings struct {
	// Entry is the name of this entry.
	Entry string
	Links *linker.Linker
	// Leader returns the last known address of the leader, or an empty string.
	Leader func() string
	// Listed returns the software versions of the upstreams of a service that are listed.
	Listed func(service string) []string
	Log    *zap.Logger
}

// Historian is the service of an entry. It is safe for concurrent use.
type Historian struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  chan struct{}
	// wake is signalled when there are streams to be sent.
	wake chan struct{}

	mutex    sync.Mutex
	table    *Table
	releases map[cataloger.ReleaseKey]cataloger.Release
	// several maps services with streams to whether several versions are in use.
	several map[string]bool
	// pending are the streams that the leader of the term has not been sent.
	pending map[string]router.Stream
	term    uint64
}

// New returns a historian that has not been started.
func New(settings Settings) *Historian {
	ctx, cancel := context.WithCancel(context.Background())
	return &Historian{
		settings: settings, ctx: ctx, cancel: cancel, stopped: make(chan struct{}), wake: make(chan struct{}, 1),
		table: NewTable(entryLimit), several: map[string]bool{}, pending: map[string]router.Stream{},
	}
}

// String returns the service name.
func (h *Historian) String() string { return Name }

// Start starts to send streams.
func (h *Historian) Start(context.Context, *registrar.Registrar) error {
	go h.run()
	return nil
}

// Stop cancels the call in flight and waits for run to return.
func (h *Historian) Stop(time.Time) error {
	h.cancel()
	<-h.stopped
	return nil
}

// SetReleases sets the software versions of the catalog in force.
func (h *Historian) SetReleases(releases map[cataloger.ReleaseKey]cataloger.Release) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.releases = releases
}

// Begun records the stream that the upstream of an origin began for a request. It must be
// called before the caller gets the first event.
func (h *Historian) Begun(id string, stream router.Stream) {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.table.Record(id, stream, now) {
		return
	}
	if _, known := h.several[stream.Service]; !known {
		h.check(stream.Service, now)
	}
	if h.several[stream.Service] {
		h.queue(id, stream)
	}
}

// check finds out whether several versions of a service are in use, and queues all its
// streams once they are. The caller holds the mutex.
func (h *Historian) check(service string, now time.Time) {
	possible := Possible(h.releases, service, h.settings.Listed(service), now)
	several := len(possible) != 1 || possible[0] == ""
	if several && !h.several[service] {
		for id, stream := range h.table.All(service, now) {
			h.queue(id, stream)
		}
	}
	h.several[service] = several
}

// queue queues a stream for the leader. The caller holds the mutex.
func (h *Historian) queue(id string, stream router.Stream) {
	if len(h.pending) >= 2*entryLimit {
		return
	}
	h.pending[id] = stream
	h.signal()
}

func (h *Historian) run() {
	defer close(h.stopped)
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
			if !linker.Sleep(h.ctx, batchTime) {
				return
			}
		case <-timer.C:
		}
		if h.checkAll(time.Now()) && !h.send() && !linker.Sleep(h.ctx, checkInterval) {
			return
		}
		timer.Reset(checkInterval)
	}
}

// checkAll reports whether several versions of any service are in use.
func (h *Historian) checkAll(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	several := false
	for service := range h.several {
		h.check(service, now)
		several = several || h.several[service]
	}
	if !several {
		clear(h.pending)
	}
	return several
}

// send sends pending streams to the leader and reports whether it took them.
func (h *Historian) send() bool {
	batch := h.batch()
	reply, err := h.call(h.ctx, &wire.StreamsRequest{Entry: h.settings.Entry, Begun: encoder.EncodeStreams(batch)})
	if err != nil || !reply.GetLeading() {
		h.settings.Log.Info("streams could not be recorded", zap.Int("streams", len(batch)), zap.Error(err))
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if reply.GetTerm() != h.term {
		h.term = reply.GetTerm()
		h.queueAll(time.Now())
	}
	for id := range batch {
		delete(h.pending, id)
	}
	if len(h.pending) > 0 {
		h.signal()
	}
	return true
}

func (h *Historian) batch() map[string]router.Stream {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	batch := make(map[string]router.Stream, min(len(h.pending), maxBatch))
	for id, stream := range h.pending {
		if len(batch) >= maxBatch {
			break
		}
		batch[id] = stream
	}
	return batch
}

// queueAll queues all streams of services with several versions, for a new leader. The
// caller holds the mutex.
func (h *Historian) queueAll(now time.Time) {
	for service, several := range h.several {
		if several {
			maps.Copy(h.pending, h.table.All(service, now))
		}
	}
}

func (h *Historian) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Find returns where the stream that a request began may continue. One of the services
// served it. It returns an *UnknownOriginError if it may have begun at several versions or
// the leader can't be asked, and the cause of the context's end.
func (h *Historian) Find(ctx context.Context, id string, services []string) (router.Stream, error) {
	if stream, known := h.known(id); known {
		return stream, nil
	}
	started := time.Now()
	for {
		reply, err := h.call(ctx, &wire.StreamsRequest{Entry: h.settings.Entry, Find: id, Services: services})
		if ctx.Err() != nil {
			return router.Stream{}, context.Cause(ctx)
		}
		if found := reply.GetFound(); err == nil && found != nil {
			stream := encoder.DecodeStream(found)
			h.log(id, started, stream, "found")
			return stream, nil
		}
		if err == nil && reply.GetFinal() {
			h.log(id, started, router.Stream{}, "unknown")
			return router.Stream{}, &UnknownOriginError{}
		}
		if time.Since(started) >= findTimeout {
			h.log(id, started, router.Stream{}, "not answered")
			return router.Stream{}, &UnknownOriginError{RetryAt: time.Now().Add(findInterval)}
		}
		if !linker.Sleep(ctx, findInterval) {
			return router.Stream{}, context.Cause(ctx)
		}
	}
}

func (h *Historian) known(id string) (router.Stream, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.table.Find(id, time.Now())
}

func (h *Historian) log(id string, started time.Time, stream router.Stream, outcome string) {
	h.settings.Log.Info("origin of a stream sought", zap.String("resumes", id), zap.String("outcome", outcome),
		zap.String("service", stream.Service), zap.String("software", stream.Origin.Software), zap.Duration("took", time.Since(started)))
}

func (h *Historian) call(ctx context.Context, request *wire.StreamsRequest) (*wire.StreamsReply, error) {
	address := h.settings.Leader()
	if address == "" {
		return nil, &NoLeaderError{}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	link, err := h.settings.Links.Connect(address)
	if err != nil {
		return nil, err
	}
	reply, err := wire.NewControlClient(link).Streams(ctx, request)
	if ctx.Err() == context.DeadlineExceeded {
		h.settings.Links.Drop(address, link)
	}
	return reply, err
}
