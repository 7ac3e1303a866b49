// Package broadcaster tells the other entries what this one dispatches, as it
// happens, so that entries which see only a part of the requests don't send too
// much to one upstream at the same moment. A note that is lost changes little:
// shares are absolute and repeated. It also carries the readings of the
// platform's list that neighbouring entries share.
package broadcaster

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
	"burdocklink/registrar"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// Name is the service's name in the kernel.
const Name = "broadcaster"

const (
	// flushInterval is the least time between two notes while something changes. It
	// is well below the time in which an engine reads a prompt.
	flushInterval = 10 * time.Millisecond
	// maxNotesPerSecond bounds the notes to all peers together: each takes both
	// ends some 57 us, and an entry is told as much as it tells. With many peers
	// the time between two notes grows.
	maxNotesPerSecond = 240
	// repeatInterval is the time between two notes with all shares.
	repeatInterval = 500 * time.Millisecond
	// noteQueueSize is how many notes may wait for a peer before further ones are left
	// out.
	noteQueueSize = 16
	// idleTimeout is how long a stream is kept to a peer that there is nothing to tell.
	idleTimeout = 5 * time.Second
	// redialDelay is the wait before a peer is called again.
	redialDelay = 200 * time.Millisecond
)

// Settings are what a broadcaster needs.
type Settings struct {
	// Entry is this entry's name.
	Entry string
	// Listen is the IP address and port for the other entries.
	Listen string
	Links  *linker.Linker
	Router *router.Router
	// ServeReading answers other entries that ask for a reading of the platform's
	// list; nil where nobody does.
	ServeReading func(ctx context.Context, question surveyor.ReadingRequest) (surveyor.Reading, error)
	// InterestedEntries returns the entries that should know what this one dispatches to
	// an upstream; nil where all that this one tells should. It is nil itself where
	// that holds for all upstreams.
	InterestedEntries func(upstream string) []string
	// RegisterServices offers further services to other entries; nil for none.
	RegisterServices func(server *grpc.Server)
	// Wake is called when room at an upstream may have changed.
	Wake func()
	Log  *zap.Logger
}

// Broadcaster is the service.
type Broadcaster struct {
	wire.UnimplementedPeerServer

	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	server   *grpc.Server
	done     chan struct{}

	mutex sync.Mutex
	// peers are the entries that are told, by address.
	peers map[string]*peer
	// readers are the entries that may read the platform's list for this one,
	// those in avoided not before a time.
	readers []string
	avoided map[string]time.Time
}

// peer is one entry that is told.
type peer struct {
	address string
	// interestOnly is true for an entry that is told only of upstreams in which it is
	// interested, and toldAt when it last was.
	interestOnly bool
	lastQueuedAt time.Time
	notes        chan *wire.EntryNotes
	cancel       context.CancelFunc
	ctx          context.Context
}

// New returns a broadcaster that has not started.
func New(settings Settings) *Broadcaster {
	ctx, cancel := context.WithCancel(context.Background())
	return &Broadcaster{
		settings: settings,
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		peers:    map[string]*peer{},
		avoided:  map[string]time.Time{},
	}
}

// String names the service.
func (b *Broadcaster) String() string { return Name }

// Start listens for the notes of others and begins to tell.
func (b *Broadcaster) Start(context.Context, *registrar.Registrar) error {
	listener, err := linker.Listen(b.settings.Listen)
	if err != nil {
		return err
	}
	b.server = grpc.NewServer(linker.ServerOptions()...)
	wire.RegisterPeerServer(b.server, b)
	if b.settings.ServeReading != nil {
		wire.RegisterReadingsServer(b.server, &readingsServer{serve: b.settings.ServeReading})
	}
	if b.settings.RegisterServices != nil {
		b.settings.RegisterServices(b.server)
	}
	go b.runServer(listener)
	go b.run()
	return nil
}

// Stop ends all streams.
func (b *Broadcaster) Stop(time.Time) error {
	b.cancel()
	b.server.Stop()
	<-b.done
	return nil
}

func (b *Broadcaster) runServer(listener net.Listener) {
	if err := b.server.Serve(listener); err != nil {
		b.settings.Log.Warn("listener for notes ended", zap.Error(err))
	}
}

// SetPeers sets the addresses of the other entries.
func (b *Broadcaster) SetPeers(addresses []string) {
	readers := groupPredecessors(b.settings.Listen, addresses, entriesPerReader)
	addresses = subset(b.settings.Listen, addresses, maxPeers)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.setReaders(readers)
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
		if b.peers[address] == nil {
			b.addPeer(address)
		}
	}
	for address, p := range b.peers {
		p.interestOnly = !wanted[address]
	}
	b.removeIdlePeers()
}

// enqueue has notes sent, or leaves them out where too many wait.
func (p *peer) enqueue(notes *wire.EntryNotes) {
	select {
	case p.notes <- notes:
	default:
	}
}

func (b *Broadcaster) addPeer(address string) {
	ctx, cancel := context.WithCancel(b.ctx)
	p := &peer{address: address, notes: make(chan *wire.EntryNotes, noteQueueSize), ctx: ctx, cancel: cancel}
	b.peers[address] = p
	go b.runPeer(p)
}

// run collects what changed and hands it to all peers.
func (b *Broadcaster) run() {
	defer close(b.done)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	repeatAt := time.Now()
	for {
		select {
		case <-b.ctx.Done():
			return
		case now := <-timer.C:
			queued := 0
			if notes := b.collect(now.After(repeatAt)); notes != nil {
				queued = b.publish(notes)
			}
			if now.After(repeatAt) {
				repeatAt = now.Add(repeatInterval)
			}
			timer.Reset(flushDelay(queued))
		}
	}
}

// flushDelay is the time to the next notes after some were told to so many peers.
func flushDelay(recipients int) time.Duration {
	return max(flushInterval, time.Duration(recipients)*time.Second/maxNotesPerSecond)
}

// collect returns what changed, with all other shares where they are repeated;
// nil where there is nothing to tell.
func (b *Broadcaster) collect(full bool) *wire.EntryNotes {
	loads := b.settings.Router.LoadChanges()
	if full {
		loads = withUnchanged(loads, b.settings.Router.Loads())
	}
	if len(loads) == 0 && !full {
		return nil
	}
	return &wire.EntryNotes{Entry: b.settings.Entry, Loads: encoder.EncodeLoads(loads), Whole: full}
}

// withUnchanged adds the loads of the upstreams at which nothing changed.
func withUnchanged(changes, all []router.Load) []router.Load {
	changed := make(map[string]bool, len(changes))
	for _, load := range changes {
		changed[load.Upstream] = true
	}
	for _, load := range all {
		if !changed[load.Upstream] {
			// models are for the leader
			load.Models = nil
			changes = append(changes, load)
		}
	}
	return changes
}

// publish queues notes for those that should know, and returns for how many. One that
// does not keep up misses some.
func (b *Broadcaster) publish(notes *wire.EntryNotes) int {
	shared, targeted := b.partition(notes)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for address := range targeted {
		if b.peers[address] == nil {
			b.addPeer(address)
			b.peers[address].interestOnly = true
		}
		b.peers[address].lastQueuedAt = time.Now()
	}
	queued := 0
	for address, p := range b.peers {
		outgoing := shared
		if extra := targeted[address]; p.interestOnly || len(extra) > 0 {
			outgoing = &wire.EntryNotes{Entry: notes.GetEntry(), Loads: extra, Whole: notes.GetWhole()}
			if !p.interestOnly {
				outgoing.Loads = append(outgoing.Loads, shared.GetLoads()...)
			}
		}
		if len(outgoing.GetLoads()) > 0 || outgoing.GetWhole() {
			p.enqueue(outgoing)
			queued++
		}
	}
	b.removeIdlePeers()
	return queued
}

// partition parts what is told to all but partial peers from what only some should know.
func (b *Broadcaster) partition(notes *wire.EntryNotes) (shared *wire.EntryNotes, targeted map[string][]*wire.EntryLoad) {
	if b.settings.InterestedEntries == nil {
		return notes, nil
	}
	shared = &wire.EntryNotes{Entry: notes.GetEntry(), Whole: notes.GetWhole()}
	targeted = map[string][]*wire.EntryLoad{}
	for _, load := range notes.GetLoads() {
		interested := b.settings.InterestedEntries(load.GetUpstream())
		if interested == nil {
			shared.Loads = append(shared.Loads, load)
		}
		for _, address := range interested {
			targeted[address] = append(targeted[address], load)
		}
	}
	return shared, targeted
}

// removeIdlePeers ends the streams to entries that nothing was told for a time, but for
// those that are told of everything. The mutex is held.
func (b *Broadcaster) removeIdlePeers() {
	for address, p := range b.peers {
		if p.interestOnly && time.Since(p.lastQueuedAt) > idleTimeout {
			p.cancel()
			delete(b.peers, address)
		}
	}
}

// runPeer keeps a stream to one peer.
func (b *Broadcaster) runPeer(p *peer) {
	for {
		err := b.stream(p)
		b.settings.Log.Debug("notes to a peer ended", zap.String("peer", p.address), zap.Error(err))
		if !linker.Pause(p.ctx, redialDelay) {
			return
		}
	}
}

// stream sends notes until the stream breaks. A peer that has gone silent shows
// in the repeated notes: the kernel gives up on what is not acknowledged.
func (b *Broadcaster) stream(p *peer) error {
	link, err := b.settings.Links.Connect(p.address)
	if err != nil {
		return err
	}
	call, err := wire.NewPeerClient(link).Notes(p.ctx)
	if err != nil {
		return err
	}
	for {
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case <-call.Context().Done():
			return call.Context().Err()
		case notes := <-p.notes:
			if err := call.Send(notes); err != nil {
				return err
			}
		}
	}
}

// Notes takes in what another entry dispatches.
func (b *Broadcaster) Notes(stream grpc.ClientStreamingServer[wire.EntryNotes, wire.NotesReply]) error {
	for {
		notes, err := stream.Recv()
		if err == io.EOF {
			return stream.SendAndClose(&wire.NotesReply{})
		}
		if err != nil {
			return err
		}
		b.settings.Router.MergeLoads(time.Now(), notes.GetEntry(), encoder.DecodeLoads(notes.GetLoads()), notes.GetWhole())
		b.settings.Wake()
	}
}
