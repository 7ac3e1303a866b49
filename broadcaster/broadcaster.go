// Package broadcaster sends an entry's in-flight load by upstream to other entries,
// in notes, as it changes. Without it, entries that each see only a part of the
// requests would overload the same upstream at the same time. Lost notes do little
// harm, since the loads are absolute values and are repeated. The package also
// serves readings of the platform's list that are shared by a group of entries.
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
	"burdocklink/quarantiner"
	"burdocklink/registrar"
	"burdocklink/router"
	"burdocklink/surveyor"
)

// Name is the service name.
const Name = "broadcaster"

const (
	// flushInterval is the minimum interval between notes while loads change. It is
	// well below the prefill time of a prompt.
	flushInterval = 10 * time.Millisecond
	// maxNotesPerSecond limits the notes to all peers together, so that the interval
	// between notes grows with the number of peers. A note takes about 57 µs of CPU
	// time on both ends together, and an entry receives as many notes as it sends.
	maxNotesPerSecond = 240
	// repeatInterval is the interval between notes with all loads.
	repeatInterval = 500 * time.Millisecond
	// repeatCrashesInterval is the interval between notes with all crashes. Changes and
	// new streams carry them at once, so it only covers notes that were dropped.
	repeatCrashesInterval = 5 * time.Second
	// noteQueueSize is the number of queued notes per peer. Further ones are dropped.
	noteQueueSize = 16
	// idleTimeout is the time without notes after which the stream to an
	// interest-only peer is closed.
	idleTimeout = 5 * time.Second
	// redialDelay is the delay before a broken stream is opened again.
	redialDelay = 200 * time.Millisecond
)

// Settings configure a Broadcaster.
type Settings struct {
	// Entry is this entry's name.
	Entry string
	// Listen is the IP address and port on which other entries connect.
	Listen string
	Links  *linker.Linker
	Router *router.Router
	// ServeReading returns a reading of the platform's list to another entry; nil
	// if readings are not shared.
	ServeReading func(ctx context.Context, request surveyor.ReadingRequest) (surveyor.Reading, error)
	// InterestedEntries returns the addresses of the entries to send the load of an
	// upstream to, nil for all regular peers. A nil function means all regular peers
	// for all upstreams.
	InterestedEntries func(upstream string) []string
	// Crashes shares what crashed upstreams; nil if that is not shared.
	Crashes Crashes
	// RegisterServices registers further services on the server; nil for none.
	RegisterServices func(server *grpc.Server)
	// Wake is called when the free capacity of an upstream may have changed.
	Wake func()
	Log  *zap.Logger
}

// Crashes holds the crashes of upstreams that are known to this entry.
type Crashes interface {
	// Changes returns those that changed since the last call, Crashes all.
	Changes() []quarantiner.Crash
	Crashes() []quarantiner.Crash
	// Merge adds those that another entry knows.
	Merge(crashes []quarantiner.Crash)
	// RosterChanges, Rosters and MergeRosters do the same for the requests at work at these
	// upstreams.
	RosterChanges() []quarantiner.Roster
	Rosters() []quarantiner.Roster
	MergeRosters(rosters []quarantiner.Roster)
}

// noCrashes is used if crashes are not shared.
type noCrashes struct{}

func (noCrashes) Changes() []quarantiner.Crash { return nil }
func (noCrashes) Crashes() []quarantiner.Crash { return nil }
func (noCrashes) Merge([]quarantiner.Crash)    {}

func (noCrashes) RosterChanges() []quarantiner.Roster { return nil }
func (noCrashes) Rosters() []quarantiner.Roster       { return nil }
func (noCrashes) MergeRosters([]quarantiner.Roster)   {}

// Broadcaster sends notes to other entries and receives theirs.
type Broadcaster struct {
	wire.UnimplementedPeerServer

	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	server   *grpc.Server
	done     chan struct{}

	mutex sync.Mutex
	// peers maps addresses to the entries that notes are sent to.
	peers map[string]*peer
	// readers are the entries that may read the platform's list for this one, in
	// order of preference. avoided maps addresses of readers to the time before which
	// they are not used.
	readers []string
	avoided map[string]time.Time
}

// peer is one entry that notes are sent to.
type peer struct {
	address string
	// interestOnly marks an entry that receives only the loads of upstreams in
	// which it is interested. lastQueuedAt is the time of the last such load.
	interestOnly bool
	lastQueuedAt time.Time
	notes        chan *wire.EntryNotes
	cancel       context.CancelFunc
	ctx          context.Context
}

// New returns a broadcaster that has not started.
func New(settings Settings) *Broadcaster {
	if settings.Crashes == nil {
		settings.Crashes = noCrashes{}
	}
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

// String returns the service name.
func (b *Broadcaster) String() string { return Name }

// Start starts the server and begins to send notes.
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

// Stop closes all streams.
func (b *Broadcaster) Stop(time.Time) error {
	b.cancel()
	b.server.Stop()
	<-b.done
	return nil
}

func (b *Broadcaster) runServer(listener net.Listener) {
	if err := b.server.Serve(listener); err != nil {
		b.settings.Log.Warn("peer server stopped", zap.Error(err))
	}
}

// SetPeers sets the addresses of all other entries, from which the regular peers and
// the readers are chosen.
func (b *Broadcaster) SetPeers(addresses []string) {
	readers := groupPredecessors(b.settings.Listen, addresses, entriesPerReader)
	addresses = subset(b.settings.Listen, addresses, maxPeers)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.setReaders(readers)
	regular := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		regular[address] = true
		if b.peers[address] == nil {
			b.addPeer(address)
		}
	}
	for address, p := range b.peers {
		p.interestOnly = !regular[address]
	}
	b.removeIdlePeers()
}

// enqueue queues notes for sending. It drops them if the queue is full.
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

// run periodically collects changed loads and queues them for the peers.
func (b *Broadcaster) run() {
	defer close(b.done)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	repeatAt, repeatCrashesAt := time.Now(), time.Now()
	for {
		select {
		case <-b.ctx.Done():
			return
		case now := <-timer.C:
			queued := 0
			notes := b.addCrashes(b.collect(now.After(repeatAt)), now.After(repeatCrashesAt))
			if notes != nil {
				queued = b.publish(notes)
			}
			if now.After(repeatAt) {
				repeatAt = now.Add(repeatInterval)
			}
			if now.After(repeatCrashesAt) {
				repeatCrashesAt = now.Add(repeatCrashesInterval)
			}
			timer.Reset(flushDelay(queued))
		}
	}
}

// flushDelay returns the delay until the next notes, after notes to the given number
// of recipients.
func flushDelay(recipients int) time.Duration {
	return max(flushInterval, time.Duration(recipients)*time.Second/maxNotesPerSecond)
}

// collect returns notes with the changed loads, or with all loads if full is true. It
// returns nil if nothing changed and full is false.
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

// addCrashes adds the changed crashes, or all of them, to notes, which may be nil.
func (b *Broadcaster) addCrashes(notes *wire.EntryNotes, all bool) *wire.EntryNotes {
	crashes, rosters := b.settings.Crashes.Changes(), b.settings.Crashes.RosterChanges()
	if all {
		crashes, rosters = b.settings.Crashes.Crashes(), b.settings.Crashes.Rosters()
	}
	if len(crashes) == 0 && len(rosters) == 0 {
		return notes
	}
	if notes == nil {
		notes = &wire.EntryNotes{Entry: b.settings.Entry}
	}
	notes.Crashes = encoder.EncodeCrashes(crashes, time.Now())
	notes.Rosters = encoder.EncodeRosters(rosters, time.Now())
	return notes
}

// withUnchanged appends the loads of the other upstreams to the changed ones.
func withUnchanged(changes, all []router.Load) []router.Load {
	changed := make(map[string]bool, len(changes))
	for _, load := range changes {
		changed[load.Upstream] = true
	}
	for _, load := range all {
		if !changed[load.Upstream] {
			// Only the leader uses the counts by model.
			load.Models = nil
			changes = append(changes, load)
		}
	}
	return changes
}

// publish queues notes for the peers and returns the number of recipients. Peers that
// do not keep up miss some notes.
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
				outgoing.Crashes, outgoing.Rosters = shared.GetCrashes(), shared.GetRosters()
				outgoing.Loads = append(outgoing.Loads, shared.GetLoads()...)
			}
		}
		if len(outgoing.GetLoads()) > 0 || hasCrashes(outgoing) || outgoing.GetWhole() {
			p.enqueue(outgoing)
			queued++
		}
	}
	b.removeIdlePeers()
	return queued
}

// hasCrashes reports whether notes contain crashes or rosters.
func hasCrashes(notes *wire.EntryNotes) bool {
	return len(notes.GetCrashes()) > 0 || len(notes.GetRosters()) > 0
}

// partition separates the loads for all regular peers from those for interested
// entries, which are returned by address.
func (b *Broadcaster) partition(notes *wire.EntryNotes) (shared *wire.EntryNotes, targeted map[string][]*wire.EntryLoad) {
	if b.settings.InterestedEntries == nil {
		return notes, nil
	}
	shared = &wire.EntryNotes{
		Entry: notes.GetEntry(), Whole: notes.GetWhole(), Crashes: notes.GetCrashes(), Rosters: notes.GetRosters(),
	}
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

// removeIdlePeers closes the streams to interest-only peers without notes for
// idleTimeout. The caller holds the mutex.
func (b *Broadcaster) removeIdlePeers() {
	for address, p := range b.peers {
		if p.interestOnly && time.Since(p.lastQueuedAt) > idleTimeout {
			p.cancel()
			delete(b.peers, address)
		}
	}
}

// runPeer sends notes to one peer and reopens the stream when it breaks.
func (b *Broadcaster) runPeer(p *peer) {
	for {
		err := b.stream(p)
		b.settings.Log.Debug("note stream ended", zap.String("peer", p.address), zap.Error(err))
		if !linker.Sleep(p.ctx, redialDelay) {
			return
		}
	}
}

// stream sends notes until the stream breaks. A peer that no longer responds is
// detected by the repeated notes: the operating system closes the connection when
// sent data is not acknowledged.
func (b *Broadcaster) stream(p *peer) error {
	link, err := b.settings.Links.Connect(p.address)
	if err != nil {
		return err
	}
	call, err := wire.NewPeerClient(link).Notes(p.ctx)
	if err != nil {
		return err
	}
	if err := b.sendCrashes(call); err != nil {
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

// sendCrashes sends all crashes at the start of a stream, for an entry that has been
// restarted or cut off.
func (b *Broadcaster) sendCrashes(call grpc.ClientStreamingClient[wire.EntryNotes, wire.NotesReply]) error {
	now := time.Now()
	notes := &wire.EntryNotes{
		Entry:   b.settings.Entry,
		Crashes: encoder.EncodeCrashes(b.settings.Crashes.Crashes(), now),
		Rosters: encoder.EncodeRosters(b.settings.Crashes.Rosters(), now),
	}
	if !hasCrashes(notes) {
		return nil
	}
	return call.Send(notes)
}

// Notes merges the loads and crashes received from another entry.
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
		if len(notes.GetCrashes()) > 0 {
			b.settings.Crashes.Merge(encoder.DecodeCrashes(notes.GetCrashes(), time.Now()))
		}
		if len(notes.GetRosters()) > 0 {
			b.settings.Crashes.MergeRosters(encoder.DecodeRosters(notes.GetRosters(), time.Now()))
		}
		b.settings.Wake()
	}
}
