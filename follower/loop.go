package follower

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/connectivity"

	"burdocklink/cataloger"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/linker"
)

const (
	// streamTimeout is the maximum time between two updates of a stream.
	streamTimeout = 2 * time.Second
	// defaultReportInterval is the minimum time between two reports.
	defaultReportInterval = 500 * time.Millisecond
	// defaultDemandInterval is the minimum time between two reports with demand.
	defaultDemandInterval = 2 * time.Second
	// redialDelay is the delay before the next stream is opened.
	redialDelay = 100 * time.Millisecond
	// connectTimeout is the maximum time to connect to a member.
	connectTimeout = 400 * time.Millisecond
	// silentAfter is the time without an update from which on a member whose stream
	// ended counts as silent. It exceeds the interval of heartbeats.
	silentAfter = time.Second
	// silenceDuration is how long a silent member is passed over, unless another one
	// names it as the leader.
	silenceDuration = 2 * time.Second
)

// loop opens one stream after another until the follower stops.
func (f *Follower) loop() {
	defer close(f.stopped)
	members := linker.NewRotation()
	for {
		opened := time.Now()
		address := members.Next(f.Leader(), *f.control.Load(), opened)
		heardAt, err := f.follow(address)
		now := time.Now()
		f.settings.Log.Info("control stream ended", zap.String("member", address), zap.Duration("lasted", now.Sub(opened)),
			zap.Time("heard-at", heardAt), zap.String("leader", f.Leader()), zap.Error(err))
		f.rate(members, streamEnd{address: address, opened: opened, heardAt: heardAt, endedAt: now, err: err})
		if !f.awaitRedial() {
			return
		}
	}
}

// streamEnd describes a stream that has ended. heardAt is zero if there was no update.
type streamEnd struct {
	address string
	opened  time.Time
	heardAt time.Time
	endedAt time.Time
	err     error
}

// silence returns how long there was no update before the end.
func (e streamEnd) silence() time.Duration {
	if e.heardAt.IsZero() {
		return e.endedAt.Sub(e.opened)
	}
	return e.endedAt.Sub(e.heardAt)
}

// rate decides whether a member is passed over after its stream has ended. A member that
// fails at once costs no time and may be back soon. A leader that another member names
// is called again: the silence may have been this entry's own.
func (f *Follower) rate(members *linker.Rotation, end streamEnd) {
	var other *NotLeaderError
	if errors.As(end.err, &other) {
		members.MarkHeard(other.Leader)
	}
	silent := end.silence() >= connectTimeout
	if !end.heardAt.IsZero() {
		silent = end.silence() >= silentAfter
	}
	if silent {
		members.MarkSilent(end.address, end.endedAt, end.endedAt.Add(silenceDuration))
	}
	if (silent || end.heardAt.IsZero()) && f.Leader() == end.address {
		unknown := ""
		f.leader.Store(&unknown)
	}
}

// awaitRedial waits for the redial delay and handles offers meanwhile. It returns false
// once the follower stops.
func (f *Follower) awaitRedial() bool {
	timer := time.NewTimer(redialDelay)
	defer timer.Stop()
	for {
		select {
		case <-f.stop:
			return false
		case offer := <-f.offers:
			f.handleOffer(offer)
		case <-timer.C:
			return true
		}
	}
}

// follow runs one stream until it fails or times out, or the follower stops. It returns
// the time of the last update, zero if there was none.
func (f *Follower) follow(address string) (time.Time, error) {
	var heardAt time.Time
	link, err := f.settings.Links.Connect(address)
	if err != nil {
		return heardAt, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newStream(ctx, wire.NewControlClient(link))
	go s.runReceive()
	timeout := time.NewTimer(streamTimeout)
	defer timeout.Stop()
	connected := time.NewTimer(connectTimeout)
	defer connected.Stop()
	interval := f.reportInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	state := newStreamState()
	f.enqueueReport(s, state)
	for {
		select {
		case <-f.stop:
			return heardAt, nil
		case offer := <-f.offers:
			f.handleOffer(offer)
		case <-connected.C:
			if link.GetState() != connectivity.Ready {
				return heardAt, &UnreachableError{Address: address}
			}
		case <-ticker.C:
			if current := f.reportInterval(); current != interval {
				interval = current
				ticker.Reset(interval)
			}
			f.enqueueReport(s, state)
		case <-timeout.C:
			f.settings.Links.Drop(address, link)
			return heardAt, &TimeoutError{Address: address}
		case <-s.failed:
			return heardAt, s.err
		case update := <-s.updates:
			heardAt = time.Now()
			timeout.Reset(streamTimeout)
			if err := f.handleUpdate(address, state, update); err != nil {
				return heardAt, err
			}
		}
	}
}

// maxReportsPerSecond limits the reports of all entries together, since each
// takes the leader about 60 µs. maxReportInterval takes precedence.
const maxReportsPerSecond = 140

// maxReportInterval is the maximum time between two reports, since a report of
// requests in flight expires after two seconds.
const maxReportInterval = 750 * time.Millisecond

// reportInterval returns the time between two reports, which grows with the
// number of entries.
func (f *Follower) reportInterval() time.Duration {
	shared := time.Duration(f.entries.Load()) * time.Second / maxReportsPerSecond
	return max(f.settings.ReportInterval, min(maxReportInterval, shared))
}

// enqueueReport makes a report unless the previous one is still queued. A report
// must not be replaced, since each change of demand is encoded only once.
func (f *Follower) enqueueReport(s *stream, state *streamState) {
	if len(s.reports) == 0 {
		s.reports <- f.report(state)
	}
}

// report returns the entry's state, with the changes of demand if they are due.
func (f *Follower) report(state *streamState) *wire.FollowRequest {
	now := time.Now()
	report := &wire.FollowRequest{
		Number:           state.sent.add(now),
		Entry:            f.settings.Entry,
		Incarnation:      f.settings.Incarnation,
		AvailabilityZone: f.settings.AvailabilityZone,
		Revision:         f.Latest().Revision,
		InForce:          f.Catalog() != nil,
		Capacity:         uint32(f.settings.Capacity),
	}
	if f.settings.Loads != nil {
		report.Address = f.settings.PeerAddress
		report.Loads = encoder.EncodeLoads(f.settings.Loads())
	}
	if now.Before(state.nextDemand) {
		return report
	}
	state.nextDemand = now.Add(f.settings.DemandInterval)
	demand := f.settings.Demand()
	report.SinceUnixMs = demand.Since.UnixMilli()
	report.Demand = state.demand.Encode(demand)
	return report
}

// handleUpdate applies one update of a member.
func (f *Follower) handleUpdate(address string, state *streamState, update *wire.FollowReply) error {
	switch update := update.GetUpdate().(type) {
	case *wire.FollowReply_Snapshot:
		return f.applySnapshot(update.Snapshot)
	case *wire.FollowReply_Delta:
		return f.applyDelta(update.Delta)
	case *wire.FollowReply_Heartbeat:
		return f.handleHeartbeat(address, state.sent, update.Heartbeat)
	case *wire.FollowReply_Holdings:
		return f.handleHoldings(address, state, update.Holdings.GetHoldings(), time.Now())
	case *wire.FollowReply_Listing:
		if f.settings.OnListing != nil {
			f.settings.OnListing(encoder.DecodeListing(update.Listing))
		}
		return nil
	case *wire.FollowReply_Limits:
		if f.settings.OnLimits != nil {
			f.settings.OnLimits(address, encoder.DecodeLimits(update.Limits, time.Now()))
		}
		return nil
	default:
		return &UnknownUpdateError{}
	}
}

func (f *Follower) applySnapshot(data []byte) error {
	delta, err := encoder.DecodeDelta(data)
	if err != nil {
		return err
	}
	catalog, err := cataloger.New().With(delta)
	if err != nil {
		return err
	}
	f.storeLatest(catalog)
	return nil
}

// applyDelta applies a delta and ignores one that was applied before.
func (f *Follower) applyDelta(data []byte) error {
	delta, err := encoder.DecodeDelta(data)
	if err != nil {
		return err
	}
	latest := f.Latest()
	if delta.To <= latest.Revision {
		return nil
	}
	catalog, err := latest.With(delta)
	if err != nil {
		return err
	}
	f.storeLatest(catalog)
	return nil
}

// handleHeartbeat dates the confirmation back to the report that the heartbeat
// echoes, so that a delayed heartbeat does not count as a recent one.
func (f *Follower) handleHeartbeat(address string, sent *sentReports, heartbeat *wire.Heartbeat) error {
	if at, ok := sent.at(heartbeat.GetEcho()); ok {
		f.confirm(Confirmation{Revision: heartbeat.GetRevision(), At: at})
		f.sync(Confirmation{Revision: heartbeat.GetRevision(), At: sent.steadyAt(heartbeat.GetEcho())})
		if f.settings.OnListRead != nil && heartbeat.GetListAgeMs() >= 0 {
			f.settings.OnListRead(at.Add(-time.Duration(heartbeat.GetListAgeMs()) * time.Millisecond))
		}
	}
	peers := heartbeat.GetPeers()
	if len(peers) > 0 {
		f.entries.Store(int64(len(peers)))
	}
	if f.settings.OnPeers != nil && len(peers) > 0 {
		f.settings.OnPeers(f.otherEntries(peers, heartbeat.GetCapacities()))
	}
	leader := heartbeat.GetLeader()
	f.leader.Store(&leader)
	if heartbeat.GetLeading() {
		return nil
	}
	// a member that is cut off from the others keeps sending heartbeats, but
	// receives no changes
	if leader == "" {
		return &NoLeaderError{Address: address}
	}
	if leader != address {
		return &NotLeaderError{Leader: leader}
	}
	return nil
}

// maxCapacity bounds the capacity that an entry reports.
const maxCapacity = 1 << 20

// otherEntries returns the entries of a heartbeat without this one.
func (f *Follower) otherEntries(addresses []string, capacities []uint32) []Peer {
	peers := make([]Peer, 0, len(addresses))
	for i, address := range addresses {
		if address == f.settings.PeerAddress {
			continue
		}
		peer := Peer{Address: address}
		if i < len(capacities) {
			peer.Capacity = int(min(capacities[i], maxCapacity))
		}
		peers = append(peers, peer)
	}
	return peers
}

// handleHoldings handles an update of the engines' holdings. An empty update
// confirms the holdings received so far. If it comes after they have expired, as
// when the process was suspended, the stream ends with a *StaleHoldingsError,
// since a new stream starts with all holdings.
func (f *Follower) handleHoldings(address string, state *streamState, holdings []*wire.Holding, now time.Time) error {
	if len(holdings) > 0 {
		if f.settings.OnHoldings != nil {
			f.settings.OnHoldings(encoder.DecodeHoldings(holdings, now))
		}
		return nil
	}
	if !state.holdingsValidUntil.IsZero() && now.After(state.holdingsValidUntil) {
		return &StaleHoldingsError{Address: address}
	}
	state.holdingsValidUntil = now.Add(encoder.HoldingsLifetime)
	if f.settings.OnHoldingsConfirmed != nil {
		f.settings.OnHoldingsConfirmed(state.holdingsValidUntil)
	}
	return nil
}

// handleOffer applies a peer's catalog and confirmation.
func (f *Follower) handleOffer(offer Offer) {
	if offer.Catalog != nil {
		f.storeLatest(offer.Catalog)
	}
	f.confirm(offer.Confirmation)
}

// storeLatest stores the catalog if it is newer than the latest one.
func (f *Follower) storeLatest(catalog *cataloger.Catalog) {
	if catalog.Revision <= f.Latest().Revision {
		return
	}
	f.latest.Store(catalog)
	f.activate()
}

// confirm stores the confirmation if it is newer than the last one. It ignores
// one from before the start: before a restart this entry may have served by a
// later revision.
func (f *Follower) confirm(confirmation Confirmation) {
	last := f.Confirmed()
	if !confirmation.At.After(f.started) || !confirmation.At.After(last.At) {
		return
	}
	confirmation.Revision = max(confirmation.Revision, last.Revision)
	f.confirmed.Store(&confirmation)
	f.activate()
}

// activate puts the latest catalog in force once it has reached the confirmed
// revision.
func (f *Follower) activate() {
	latest := f.Latest()
	confirmed := f.Confirmed()
	if confirmed.At.IsZero() || latest.Revision < confirmed.Revision {
		return
	}
	if f.inForce.Load() == latest {
		return
	}
	f.inForce.Store(latest)
	f.settings.OnCatalog(latest)
	f.sync(f.pending)
}

// sync records when a quorum confirmed a revision, on the clock of timekeeper. Until that
// revision is in force, the confirmation is pending.
func (f *Follower) sync(confirmation Confirmation) {
	if !confirmation.At.After(f.SyncedAt()) {
		return
	}
	if current := f.Catalog(); current == nil || current.Revision < confirmation.Revision {
		f.pending = confirmation
		return
	}
	f.synced.Store(&confirmation.At)
}
