package quarantiner

import (
	"context"
	"errors"
	"math/bits"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// dialTimeout is the maximum time to find out whether an upstream still listens.
	dialTimeout = 300 * time.Millisecond
	// trialRetryDelay is the retry delay for callers whose requests waited for a trial.
	trialRetryDelay = time.Second
)

// Settings configure a Quarantiner.
type Settings struct {
	// Entry identifies this entry among those of SetPeers, by address.
	Entry string
	// Dial opens a connection to an upstream; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics may be nil.
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Quarantiner decides for an entry which requests may be sent. It is safe for
// concurrent use.
type Quarantiner struct {
	settings Settings
	crashes  metrics.Counter
	refusals metrics.Counter
	// convictions counts the conclusions from rosters.
	convictions metrics.Counter

	mutex sync.Mutex
	table *Table
	peers []string
	// changed contains the crashes that other entries have not been sent, changedRosters the
	// upstreams of such rosters.
	changed        map[string]Crash
	changedRosters map[string]bool
	// wake is closed when requests that wait may be decided anew.
	wake chan struct{}
}

// New returns a quarantiner that knows no crash.
func New(settings Settings) *Quarantiner {
	if settings.Dial == nil {
		settings.Dial = dialTCP
	}
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewRegistry()
	}
	if settings.Log == nil {
		settings.Log = zap.NewNop()
	}
	return &Quarantiner{
		settings: settings,
		crashes:  metrics.GetOrRegisterCounter("quarantine-crashes", settings.Metrics),
		refusals: metrics.GetOrRegisterCounter("quarantine-refusals", settings.Metrics),

		convictions: metrics.GetOrRegisterCounter("quarantine-convictions", settings.Metrics),

		table:   NewTable(),
		changed: map[string]Crash{},
		wake:    make(chan struct{}),

		changedRosters: map[string]bool{},
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// SetPeers sets the addresses of the other entries.
func (q *Quarantiner) SetPeers(peers []string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.peers = peers
}

// Admit waits until a request may be sent. It returns a
// *QuarantinedError, a *TrialPendingError after the deadline, or the cause of the
// context's end. The pass must be ended with End.
func (q *Quarantiner) Admit(ctx context.Context, subject Subject, deadline time.Time) (*Pass, error) {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	for {
		pass, wake, err := q.decide(subject, time.Now())
		if pass != nil || err != nil {
			return pass, err
		}
		select {
		case <-wake:
		case <-timeout.C:
			return nil, &TrialPendingError{RetryAt: time.Now().Add(trialRetryDelay)}
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// decide returns a pass, an error, or a channel that is closed when to decide again.
func (q *Quarantiner) decide(subject Subject, now time.Time) (*Pass, <-chan struct{}, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	switch verdict := q.table.Decide(subject, q.probes, now).(type) {
	case Refuse:
		q.refusals.Inc(1)
		return nil, nil, &QuarantinedError{Suspects: verdict.Suspects, RetryAt: verdict.RetryAt}
	case Trial:
		q.settings.Log.Info("trying a suspected request", zap.String("fingerprint", subject.Fingerprint), zap.Strings("suspects", verdict.Suspects))
		return &Pass{quarantiner: q, subject: subject, trial: verdict}, nil, nil
	case Wait:
		return nil, q.wake, nil
	default:
		return &Pass{quarantiner: q, subject: subject}, nil, nil
	}
}

// probes reports whether this entry is the one of all entries that probes suspects. The
// caller holds the mutex.
func (q *Quarantiner) probes(suspects []string) bool {
	own := score(q.settings.Entry, suspects)
	for _, peer := range q.peers {
		if score(peer, suspects) > own {
			return false
		}
	}
	return true
}

// score ranks an entry for suspects.
func score(entry string, suspects []string) uint64 {
	hash := xxhash.New()
	// writing to a hash never fails
	_, _ = hash.WriteString(entry)
	for _, part := range normalize(suspects) {
		_, _ = hash.WriteString(" " + part)
	}
	return hash.Sum64()
}

// Merge adds the observations of another entry.
func (q *Quarantiner) Merge(observed []Crash) {
	for _, crash := range observed {
		q.observe(crash, time.Now())
	}
}

// observe adds an observation and queues it for other entries if it is new.
func (q *Quarantiner) observe(observed Crash, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	crash, changed := q.table.Merge(observed, now)
	if changed {
		q.crashes.Inc(1)
		q.publish(crash, now)
	}
}

// publish queues a crash for other entries, logs it and wakes waiting requests. The
// caller holds the mutex.
func (q *Quarantiner) publish(crash Crash, now time.Time) {
	if len(q.changed) < maxCrashes {
		q.changed[crash.key()] = crash
	}
	q.wakeWaiting()
	q.settings.Log.Info("upstream crashed under a request", zap.String("upstream", crash.Upstream),
		zap.Duration("age", now.Sub(crash.At)), zap.String("fingerprint", crash.Fingerprint),
		zap.Strings("parts", crash.Parts), zap.Strings("suspects", crash.Suspects()))
}

// wakeWaiting lets waiting requests be decided anew. The caller holds the mutex.
func (q *Quarantiner) wakeWaiting() {
	close(q.wake)
	q.wake = make(chan struct{})
}

// MergeRosters adds the rosters of another entry.
func (q *Quarantiner) MergeRosters(observed []Roster) {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, roster := range observed {
		if q.table.MergeRoster(roster, now) {
			q.publishRoster(roster.Upstream, now)
		}
	}
}

// publishRoster queues the roster of an upstream for other entries, logs new conclusions and
// wakes waiting requests. The caller holds the mutex.
func (q *Quarantiner) publishRoster(upstream string, now time.Time) {
	if len(q.changedRosters) < maxRosters {
		q.changedRosters[upstream] = true
	}
	for _, c := range q.table.newConvictions() {
		q.convictions.Inc(1)
		q.settings.Log.Info("requests quarantined", zap.Uint64s("ids", c.ids), zap.Int("crashes", c.crashes),
			zap.Strings("upstreams", c.upstreams), zap.Duration("age", now.Sub(c.last)), zap.Time("retry-at", c.probeAt()))
	}
	q.wakeWaiting()
}

// RosterChanges returns the rosters that have changed since the last call.
func (q *Quarantiner) RosterChanges() []Roster {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	changes := make([]Roster, 0, len(q.changedRosters))
	for upstream := range q.changedRosters {
		changes = append(changes, q.table.RostersOf(upstream)...)
	}
	clear(q.changedRosters)
	return changes
}

// Rosters returns all rosters that are known.
func (q *Quarantiner) Rosters() []Roster {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.table.Rosters(time.Now())
}

// Changes returns the crashes that have changed since the last call.
func (q *Quarantiner) Changes() []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	changes := make([]Crash, 0, len(q.changed))
	for key, crash := range q.changed {
		changes = append(changes, crash)
		delete(q.changed, key)
	}
	return changes
}

// Crashes returns all crashes that are known.
func (q *Quarantiner) Crashes() []Crash {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.table.Crashes(time.Now())
}

// Pass allows one request to be sent, several times.
type Pass struct {
	quarantiner *Quarantiner
	subject     Subject
	// hashes are the short forms of the subject's IDs.
	hashes []uint64
	trial  Trial
}

// Valid reports whether the request may still be sent.
func (p *Pass) Valid() bool {
	q := p.quarantiner
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.table.Permits(p.subject, p.trial, time.Now())
}

// Answered records that an upstream has begun to answer the request and has not crashed when
// it began.
func (p *Pass) Answered() {
	q, now := p.quarantiner, time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, crash := range q.table.Answered(p.subject, now) {
		q.publish(crash, now)
	}
}

// Completed records that an upstream has answered the request to its end, so neither it nor
// any of its parts is the cause of a crash.
func (p *Pass) Completed() {
	p.Answered()
	p.lasted(wholeAnswer)
}

// Lasted records that an answer to the request has come to a number of events. It must be
// called for each event.
func (p *Pass) Lasted(events int) {
	if events > maxEventsApart && bits.OnesCount(uint(events)) == 1 {
		p.lasted(events)
	}
}

func (p *Pass) lasted(events int) {
	q, now := p.quarantiner, time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if p.hashes == nil {
		p.hashes = p.subject.hashes()
	}
	for _, upstream := range q.table.lasted(p.hashes, events, now) {
		q.publishRoster(upstream, now)
	}
}

// Stage is how far an upstream had come with an answer.
type Stage int

const (
	// StageWaiting is before the header of the answer. The request may still have waited in
	// the upstream's queue.
	StageWaiting Stage = iota
	// StageBeginning is between the header and the first piece of the answer.
	StageBeginning
	// StageAnswering is after the first piece. All other answers of the upstream may be in
	// this stage too.
	StageAnswering
)

// Break is the end of a connection before the end of an answer.
type Break struct {
	// Upstream is the incarnation, Address its IP and port.
	Upstream, Address string
	Stage             Stage
	// Events is the number of events of the answer.
	Events int
	// Repeated is set if the request was sent after another upstream had crashed under it.
	Repeated bool
}

// Broken records that an upstream has crashed under the request, if it no longer listens.
// It reports whether that is so.
func (p *Pass) Broken(ctx context.Context, broken Break) bool {
	if len(p.subject.ids()) == 0 || !p.quarantiner.hasCrashed(ctx, broken) {
		return false
	}
	now := time.Now()
	p.quarantiner.addToRoster(broken, p.subject, now)
	crash := Crash{
		Upstream: broken.Upstream, Fingerprint: p.subject.Fingerprint, Repeated: broken.Repeated, At: now,
	}
	if broken.Stage == StageBeginning {
		crash.Parts = p.subject.Parts
	}
	if broken.Stage != StageAnswering && len(crash.ids()) > 0 {
		p.quarantiner.observe(crash, now)
	}
	return true
}

// addToRoster records that a request was at work at an upstream that crashed.
func (q *Quarantiner) addToRoster(broken Break, subject Subject, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.settings.Log.Info("upstream crashed while answering", zap.String("upstream", broken.Upstream),
		zap.Int("events", broken.Events), zap.String("fingerprint", subject.Fingerprint), zap.Strings("parts", subject.Parts))
	observed := Roster{Upstream: broken.Upstream, At: now}
	for _, id := range subject.hashes() {
		observed.Suspects = append(observed.Suspects, Suspect{ID: id, Events: broken.Events})
	}
	if q.table.MergeRoster(observed, now) {
		q.publishRoster(broken.Upstream, now)
	}
}

// hasCrashed reports whether an upstream is known to have crashed just now or refuses
// connections.
func (q *Quarantiner) hasCrashed(ctx context.Context, broken Break) bool {
	q.mutex.Lock()
	crashed := q.table.CrashedAt(broken.Upstream, time.Now())
	q.mutex.Unlock()
	return crashed || q.isDown(ctx, broken.Address)
}

// isDown reports whether connections to an address are refused. A connection that
// hangs or is established does not show that an upstream crashed.
func (q *Quarantiner) isDown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := q.settings.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// End ends the pass. It may be called more than once.
func (p *Pass) End() {
	if len(p.trial.Suspects) == 0 {
		return
	}
	q := p.quarantiner
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.table.EndTrial(p.trial)
	p.trial = Trial{}
	q.wakeWaiting()
}
