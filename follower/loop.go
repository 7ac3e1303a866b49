package follower

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

// Times of a stream.
const (
	// silenceLimit is how long a stream may say nothing.
	silenceLimit = 2 * time.Second
	// tellInterval is the time between two reports of the entry.
	tellInterval = 500 * time.Millisecond
	// demandInterval is the time between two reports of demand.
	demandInterval = 2 * time.Second
	// redialPause is the wait before the next member is tried.
	redialPause = 100 * time.Millisecond
)

// loop follows one member after the other until the follower stops.
func (f *Follower) loop() {
	defer close(f.stopped)
	next := 0
	for {
		address := f.choose(&next)
		err := f.follow(address)
		f.settings.Log.Debug("stream ended", zap.String("member", address), zap.Error(err))
		if !f.pause() {
			return
		}
	}
}

// choose prefers the leader and goes round the members where none is known.
func (f *Follower) choose(next *int) string {
	if leader := f.Leader(); leader != "" {
		none := ""
		f.leader.Store(&none)
		return leader
	}
	control := *f.control.Load()
	address := control[*next%len(control)]
	*next++
	return address
}

// pause waits a little and takes offers meanwhile. It returns false once the
// follower stops.
func (f *Follower) pause() bool {
	timer := time.NewTimer(redialPause)
	defer timer.Stop()
	for {
		select {
		case <-f.stop:
			return false
		case offer := <-f.offers:
			f.takeOffer(offer)
		case <-timer.C:
			return true
		}
	}
}

// follow runs one stream until it breaks, goes silent or the follower stops.
func (f *Follower) follow(address string) error {
	link, err := f.settings.Links.Connect(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newStream(ctx, wire.NewControlClient(link))
	go s.runReceive()
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	every := f.tellTime()
	tell := time.NewTicker(every)
	defer tell.Stop()
	told := newTold()
	f.tell(s, told)
	for {
		select {
		case <-f.stop:
			return nil
		case offer := <-f.offers:
			f.takeOffer(offer)
		case <-tell.C:
			if now := f.tellTime(); now != every {
				every = now
				tell.Reset(every)
			}
			f.tell(s, told)
		case <-silence.C:
			f.settings.Links.Drop(address, link)
			return &SilentError{Address: address}
		case <-s.failed:
			return s.err
		case update := <-s.updates:
			silence.Reset(silenceLimit)
			if err := f.take(address, told, update); err != nil {
				return err
			}
		}
	}
}

// reportRate is how many reports all entries together make in a second at most.
// Each takes a leader about 60 µs.
const reportRate = 140

// longestTell is the longest time between two reports: what an entry has in
// flight counts for two seconds.
const longestTell = 750 * time.Millisecond

// tellTime is the time between two reports, longer with more entries.
func (f *Follower) tellTime() time.Duration {
	shared := time.Duration(f.entries.Load()) * time.Second / reportRate
	return max(f.settings.Tell, min(longestTell, shared))
}

// tell makes a report unless the one before still waits: what a report says of
// demand is told only once.
func (f *Follower) tell(s *stream, told *told) {
	if len(s.reports) == 0 {
		s.reports <- f.report(told)
	}
}

// report returns what the entry has in force, with the demand that changed
// where it is time to tell it.
func (f *Follower) report(told *told) *wire.FollowRequest {
	now := time.Now()
	report := &wire.FollowRequest{
		Number:           told.sent.add(now),
		Entry:            f.settings.Entry,
		Incarnation:      f.settings.Incarnation,
		AvailabilityZone: f.settings.AvailabilityZone,
		Revision:         f.Held().Revision,
		InForce:          f.Catalog() != nil,
	}
	if f.settings.Loads != nil {
		report.Address = f.settings.NotesAddress
		report.Loads = encoder.EncodeLoads(f.settings.Loads())
	}
	if now.Before(told.nextDemand) {
		return report
	}
	told.nextDemand = now.Add(f.settings.TellDemand)
	demand := f.settings.Demand()
	report.SinceUnixMs = demand.Since.UnixMilli()
	report.Demand = told.demand.Encode(demand)
	return report
}

// take applies one update of a member.
func (f *Follower) take(address string, told *told, update *wire.FollowReply) error {
	switch update := update.GetUpdate().(type) {
	case *wire.FollowReply_Snapshot:
		return f.takeSnapshot(update.Snapshot)
	case *wire.FollowReply_Delta:
		return f.takeDelta(update.Delta)
	case *wire.FollowReply_Heartbeat:
		return f.takeHeartbeat(address, told.sent, update.Heartbeat)
	case *wire.FollowReply_Holdings:
		return f.takeHoldings(address, told, update.Holdings.GetHoldings(), time.Now())
	case *wire.FollowReply_Listing:
		if f.settings.Listed != nil {
			f.settings.Listed(encoder.DecodeListing(update.Listing))
		}
		return nil
	case *wire.FollowReply_Limits:
		if f.settings.Limits != nil {
			f.settings.Limits(address, encoder.DecodeLimits(update.Limits, time.Now()))
		}
		return nil
	default:
		return &UpdateError{}
	}
}

func (f *Follower) takeSnapshot(data []byte) error {
	delta, err := encoder.DecodeDelta(data)
	if err != nil {
		return err
	}
	catalog, err := cataloger.New().With(delta)
	if err != nil {
		return err
	}
	f.hold(catalog)
	return nil
}

// takeDelta applies a delta; one that is known already is passed over.
func (f *Follower) takeDelta(data []byte) error {
	delta, err := encoder.DecodeDelta(data)
	if err != nil {
		return err
	}
	held := f.Held()
	if delta.To <= held.Revision {
		return nil
	}
	catalog, err := held.With(delta)
	if err != nil {
		return err
	}
	f.hold(catalog)
	return nil
}

// takeHeartbeat counts a confirmation from the time of the report that it
// echoes, so that a heartbeat which was long on its way is not taken for a
// fresh one.
func (f *Follower) takeHeartbeat(address string, sent *sentReports, beat *wire.Heartbeat) error {
	if at, ok := sent.at(beat.GetEcho()); ok {
		f.confirm(Confirmation{Revision: beat.GetRevision(), At: at})
		if f.settings.ListRead != nil && beat.GetListAgeMs() >= 0 {
			f.settings.ListRead(at.Add(-time.Duration(beat.GetListAgeMs()) * time.Millisecond))
		}
	}
	others := beat.GetPeers()
	if len(others) > 0 {
		f.entries.Store(int64(len(others)))
	}
	if f.settings.Peers != nil && len(others) > 0 {
		f.settings.Peers(slices.DeleteFunc(others, func(one string) bool { return one == f.settings.NotesAddress }))
	}
	leader := beat.GetLeader()
	f.leader.Store(&leader)
	if beat.GetLeading() {
		return nil
	}
	// a member that is cut off from the others goes on sending heartbeats, and
	// knows of no change
	if leader == "" {
		return &LeaderlessError{Address: address}
	}
	if leader != address {
		return &ElsewhereError{Leader: leader}
	}
	return nil
}

// takeHoldings takes in what engines hold. A message that names none says that
// what was told stands. Where that comes too late, as after the entry was frozen,
// the stream is left, since a new one tells all holdings.
func (f *Follower) takeHoldings(address string, told *told, holdings []*wire.Holding, now time.Time) error {
	if len(holdings) > 0 {
		if f.settings.Held != nil {
			f.settings.Held(encoder.DecodeHoldings(holdings, now))
		}
		return nil
	}
	if !told.standsUntil.IsZero() && now.After(told.standsUntil) {
		return &LapsedError{Address: address}
	}
	told.standsUntil = now.Add(encoder.ToldTime)
	if f.settings.Stand != nil {
		f.settings.Stand(told.standsUntil)
	}
	return nil
}

// takeOffer applies what a peer offers.
func (f *Follower) takeOffer(offer Offer) {
	if offer.Catalog != nil {
		f.hold(offer.Catalog)
	}
	f.confirm(offer.Confirmation)
}

// hold keeps a catalog unless it is older than the one held.
func (f *Follower) hold(catalog *cataloger.Catalog) {
	if catalog.Revision <= f.Held().Revision {
		return
	}
	f.held.Store(catalog)
	f.enforce()
}

// confirm notes the newest confirmation. One from before the start says
// nothing of what this entry may have served by before it was restarted.
func (f *Follower) confirm(confirmation Confirmation) {
	known := f.Confirmed()
	if !confirmation.At.After(f.started) || !confirmation.At.After(known.At) {
		return
	}
	confirmation.Revision = max(confirmation.Revision, known.Revision)
	f.confirmed.Store(&confirmation)
	f.enforce()
}

// enforce puts the held catalog in force once it reaches a revision that a
// quorum vouched for.
func (f *Follower) enforce() {
	held := f.Held()
	confirmed := f.Confirmed()
	if confirmed.At.IsZero() || held.Revision < confirmed.Revision {
		return
	}
	if f.inForce.Load() == held {
		return
	}
	f.inForce.Store(held)
	f.settings.Notify(held)
}
