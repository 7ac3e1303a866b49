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
	// flushTime is the least time between two notes while something changes. It
	// is well below the time in which an engine reads a prompt.
	flushTime = 10 * time.Millisecond
	// notesPerSecond bounds the notes to all peers together: each takes both
	// ends some 57 us, and an entry is told as much as it tells. With many peers
	// the time between two notes grows.
	notesPerSecond = 240
	// repeatTime is the time between two notes with all shares.
	repeatTime = 500 * time.Millisecond
	// noteQueue is how many notes may wait for a peer before further ones are left
	// out.
	noteQueue = 16
	// idleTime is how long a stream is kept to a peer that there is nothing to tell.
	idleTime = 5 * time.Second
	// redialPause is the wait before a peer is called again.
	redialPause = 200 * time.Millisecond
)

// Settings are what a broadcaster needs.
type Settings struct {
	// Entry is this entry's name.
	Entry string
	// Listen is the IP address and port for the other entries.
	Listen string
	Links  *linker.Linker
	Router *router.Router
	// Answer answers other entries that ask for a reading of the platform's
	// list; nil where nobody does.
	Answer func(ctx context.Context, question surveyor.ReadingRequest) (surveyor.Reading, error)
	// Interested returns the entries that should know what this one dispatches to
	// an upstream; nil where all that this one tells should. It is nil itself where
	// that holds for all upstreams.
	Interested func(upstream string) []string
	// Register offers further services to other entries; nil for none.
	Register func(server *grpc.Server)
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
	ended    chan struct{}

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
	// partial is true for an entry that is told only of upstreams in which it is
	// interested, and toldAt when it last was.
	partial bool
	toldAt  time.Time
	notes   chan *wire.EntryNotes
	cancel  context.CancelFunc
	ctx     context.Context
}

// New returns a broadcaster that has not started.
func New(settings Settings) *Broadcaster {
	ctx, cancel := context.WithCancel(context.Background())
	return &Broadcaster{
		settings: settings,
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
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
	if b.settings.Answer != nil {
		wire.RegisterReadingsServer(b.server, &readings{answer: b.settings.Answer})
	}
	if b.settings.Register != nil {
		b.settings.Register(b.server)
	}
	go b.runServer(listener)
	go b.run()
	return nil
}

// Stop ends all streams.
func (b *Broadcaster) Stop(time.Time) error {
	b.cancel()
	b.server.Stop()
	<-b.ended
	return nil
}

func (b *Broadcaster) runServer(listener net.Listener) {
	if err := b.server.Serve(listener); err != nil {
		b.settings.Log.Warn("listener for notes ended", zap.Error(err))
	}
}

// Meet sets the addresses of the other entries.
func (b *Broadcaster) Meet(addresses []string) {
	readers := groupBefore(b.settings.Listen, addresses, entriesPerReader)
	addresses = subset(b.settings.Listen, addresses, mostPeers)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.setReaders(readers)
	wanted := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
		if b.peers[address] == nil {
			b.add(address)
		}
	}
	for address, known := range b.peers {
		known.partial = !wanted[address]
	}
	b.forgetIdle()
}

// queue has notes sent, or leaves them out where too many wait.
func (p *peer) queue(notes *wire.EntryNotes) {
	select {
	case p.notes <- notes:
	default:
	}
}

func (b *Broadcaster) add(address string) {
	ctx, cancel := context.WithCancel(b.ctx)
	added := &peer{address: address, notes: make(chan *wire.EntryNotes, noteQueue), ctx: ctx, cancel: cancel}
	b.peers[address] = added
	go b.runPeer(added)
}

// run collects what changed and hands it to all peers.
func (b *Broadcaster) run() {
	defer close(b.ended)
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	repeatAt := time.Now()
	for {
		select {
		case <-b.ctx.Done():
			return
		case now := <-timer.C:
			told := 0
			if notes := b.collect(now.After(repeatAt)); notes != nil {
				told = b.tell(notes)
			}
			if now.After(repeatAt) {
				repeatAt = now.Add(repeatTime)
			}
			timer.Reset(pauseAfter(told))
		}
	}
}

// pauseAfter is the time to the next notes after some were told to so many peers.
func pauseAfter(told int) time.Duration {
	return max(flushTime, time.Duration(told)*time.Second/notesPerSecond)
}

// collect returns what changed, with all other shares where they are repeated;
// nil where there is nothing to tell.
func (b *Broadcaster) collect(whole bool) *wire.EntryNotes {
	loads := b.settings.Router.LoadChanges()
	if whole {
		loads = withRest(loads, b.settings.Router.Loads())
	}
	if len(loads) == 0 && !whole {
		return nil
	}
	return &wire.EntryNotes{Entry: b.settings.Entry, Loads: encoder.EncodeLoads(loads), Whole: whole}
}

// withRest adds the loads of the upstreams at which nothing changed.
func withRest(news, all []router.Load) []router.Load {
	changed := make(map[string]bool, len(news))
	for _, load := range news {
		changed[load.Upstream] = true
	}
	for _, load := range all {
		if !changed[load.Upstream] {
			// models are for the leader
			load.Models = nil
			news = append(news, load)
		}
	}
	return news
}

// tell queues notes for those that should know, and returns for how many. One that
// does not keep up misses some.
func (b *Broadcaster) tell(notes *wire.EntryNotes) int {
	shared, apart := b.split(notes)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for address := range apart {
		if b.peers[address] == nil {
			b.add(address)
			b.peers[address].partial = true
		}
		b.peers[address].toldAt = time.Now()
	}
	told := 0
	for address, one := range b.peers {
		due := shared
		if own := apart[address]; one.partial || len(own) > 0 {
			due = &wire.EntryNotes{Entry: notes.GetEntry(), Loads: own, Whole: notes.GetWhole()}
			if !one.partial {
				due.Loads = append(due.Loads, shared.GetLoads()...)
			}
		}
		if len(due.GetLoads()) > 0 || due.GetWhole() {
			one.queue(due)
			told++
		}
	}
	b.forgetIdle()
	return told
}

// split parts what is told to all but partial peers from what only some should know.
func (b *Broadcaster) split(notes *wire.EntryNotes) (shared *wire.EntryNotes, apart map[string][]*wire.EntryLoad) {
	if b.settings.Interested == nil {
		return notes, nil
	}
	shared = &wire.EntryNotes{Entry: notes.GetEntry(), Whole: notes.GetWhole()}
	apart = map[string][]*wire.EntryLoad{}
	for _, load := range notes.GetLoads() {
		interested := b.settings.Interested(load.GetUpstream())
		if interested == nil {
			shared.Loads = append(shared.Loads, load)
		}
		for _, address := range interested {
			apart[address] = append(apart[address], load)
		}
	}
	return shared, apart
}

// forgetIdle ends the streams to entries that nothing was told for a time, but for
// those that are told of everything. The mutex is held.
func (b *Broadcaster) forgetIdle() {
	for address, one := range b.peers {
		if one.partial && time.Since(one.toldAt) > idleTime {
			one.cancel()
			delete(b.peers, address)
		}
	}
}

// runPeer keeps a stream to one peer.
func (b *Broadcaster) runPeer(to *peer) {
	for {
		err := b.stream(to)
		b.settings.Log.Debug("notes to a peer ended", zap.String("peer", to.address), zap.Error(err))
		if !linker.Pause(to.ctx, redialPause) {
			return
		}
	}
}

// stream sends notes until the stream breaks. A peer that has gone silent shows
// in the repeated notes: the kernel gives up on what is not acknowledged.
func (b *Broadcaster) stream(to *peer) error {
	link, err := b.settings.Links.Connect(to.address)
	if err != nil {
		return err
	}
	call, err := wire.NewPeerClient(link).Notes(to.ctx)
	if err != nil {
		return err
	}
	for {
		select {
		case <-to.ctx.Done():
			return to.ctx.Err()
		case <-call.Context().Done():
			return call.Context().Err()
		case notes := <-to.notes:
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
