// Package quarantiner keeps requests away from upstreams that they would crash. The cause
// is a part of the prompt that requests share, or a request that comes again and again.
// Such requests arrive at any entry, so entries share what they observe: which requests
// and parts were being answered when an upstream crashed, and which of these another
// answer has since shown to be harmless.
//
// The Table decides and is pure. The Quarantiner serves an entry's requests and passes
// observations between entries.
package quarantiner

import (
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineCrashes is the number of crashes that must be explained by a request or
	// its parts before it is refused. One may have another cause.
	quarantineCrashes = 2
	// accompaniedCrashes is that number for a request if another one was at work at each
	// of these crashes and may be their cause as well.
	accompaniedCrashes = 4
	// minCrashInterval is the time between two crashes that count as two. Upstreams that
	// end at the same moment have another cause in common than the parts of a prompt.
	minCrashInterval = 100 * time.Millisecond
	// crashLifetime is how long a crash counts after the last one that shares a part
	// with it.
	crashLifetime = 10 * time.Minute
	// probeAfter is the time since the last crash from which on one request is sent to
	// find out whether its parts still crash upstreams.
	probeAfter = 5 * time.Minute
	// endedRequestLifetime is how long the crashes under a request count after it has been
	// sent for the last time.
	endedRequestLifetime = 24 * time.Hour
	// expiryInterval is the time between two checks for crashes that no longer count.
	expiryInterval = time.Second
	// recentAnswer is how long an answer shows that its parts are harmless to crashes
	// that are reported after it. It lasts up to twice as long.
	recentAnswer = time.Second
	// maxCrashes is the number of crashes that are kept.
	maxCrashes = 128
	// maxSeen is the number of crashes that are recognised after they were dropped, in
	// each of two generations.
	maxSeen = 4096
	// maxParts is the number of parts of a prompt that are considered, maxPartBytes the
	// length of an ID. Longer ones are ignored.
	maxParts     = 64
	maxPartBytes = 128
	// maxRecentAnswers is the number of parts of recent answers that are kept in each of
	// two generations.
	maxRecentAnswers = 4096
)

// requestProbeDelays are the times between the last crash under a quarantined request and
// the next attempt to send it, by the number of its crashes from quarantineCrashes on.
// After more crashes it is not sent again.
var requestProbeDelays = []time.Duration{20 * time.Second, time.Minute, probeAfter, probeAfter}

// Subject is what may make a request crash upstreams. Empty fields are not suspected.
type Subject struct {
	// Fingerprint identifies the requests that repeat this one.
	Fingerprint string
	// Parts are the IDs of the shared parts of its prompt.
	Parts []string
}

// ids returns the fingerprint and the parts.
func (s Subject) ids() []string {
	if s.Fingerprint == "" {
		return s.Parts
	}
	return append([]string{s.Fingerprint}, s.Parts...)
}

// Crash is an observation: an upstream crashed when it began to answer a request. It is
// identified by Upstream, Fingerprint and Parts.
type Crash struct {
	// Upstream is the incarnation that crashed.
	Upstream string
	// Fingerprint identifies the requests that repeat the one at work; empty if unknown.
	Fingerprint string
	// Parts are the IDs of the shared prompt parts that the upstream had begun to answer.
	// The request or one of them may be the cause.
	Parts []string
	// Harmless are those of Fingerprint and Parts that an upstream has answered since.
	Harmless []string
	// Repeated is set if the request was sent after another upstream had crashed under it.
	Repeated bool
	// At is when the upstream crashed.
	At time.Time
}

// ids returns the fingerprint and the parts.
func (c *Crash) ids() []string { return Subject{Fingerprint: c.Fingerprint, Parts: c.Parts}.ids() }

// key identifies a crash.
func (c *Crash) key() string { return c.Upstream + " " + strings.Join(c.ids(), " ") }

// Suspects returns the fingerprint and the parts that are not harmless.
func (c *Crash) Suspects() []string {
	return slices.DeleteFunc(slices.Clone(c.ids()), func(id string) bool { return slices.Contains(c.Harmless, id) })
}

// knownCrash is a crash in a Table.
type knownCrash struct {
	Crash
	key      string
	suspects []string
	// hashes are the short forms of the fingerprint and the parts.
	hashes []uint64
}

// suspectedRequest returns the fingerprint if it is a suspect, or else "".
func (c *knownCrash) suspectedRequest() string {
	if c.Fingerprint != "" && slices.Contains(c.suspects, c.Fingerprint) {
		return c.Fingerprint
	}
	return ""
}

// suspectedParts returns the suspects other than the fingerprint.
func (c *knownCrash) suspectedParts() []string {
	if c.suspectedRequest() == "" {
		return c.suspects
	}
	return c.suspects[1:]
}

// Verdict states whether a request may be sent. It is an Allow, Trial, Wait or Refuse.
type Verdict interface{ verdict() }

// Allow lets a request be sent.
type Allow struct{}

// Trial lets a request be sent that may crash an upstream. Until it ends, other requests
// with these suspects wait.
type Trial struct{ Suspects []string }

// Wait lets a request be decided again after a change, because another one with the
// same suspects is being sent.
type Wait struct{}

// Refuse keeps a request from being sent. RetryAt is when its suspects are tried again.
type Refuse struct {
	Suspects []string
	RetryAt  time.Time
}

func (Allow) verdict()  {}
func (Trial) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Table holds the crashes known to an entry. Observations merge in any order and any
// number of times. It is not safe for concurrent use.
type Table struct {
	// crashes are in ascending order of time.
	crashes []*knownCrash
	// seen contains the crashes that were known before.
	seen seenKeys
	// evidence is drawn from crashes and rosters; nil after a change of them.
	evidence *evidence
	rosters  rosterTable
	// expireAt is when crashes are checked for their age again.
	expireAt time.Time
	// trials are the suspects of requests that are being sent.
	trials []string
	// answered and answeredBefore contain the IDs of recent answers. The former
	// replaces the latter at rotateAt.
	answered, answeredBefore map[string]bool
	rotateAt                 time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		answered: map[string]bool{}, seen: seenKeys{recent: map[uint64]bool{}},
		rosters: rosterTable{answered: map[uint64]int{}, seen: seenKeys{recent: map[uint64]bool{}}},
	}
}

// Decide returns whether a request may be sent. A Trial must be ended with EndTrial.
// Probes reports whether this entry is the one that probes suspects.
func (t *Table) Decide(subject Subject, probes func(suspects []string) bool, now time.Time) Verdict {
	t.expire(now)
	t.expireRosters(now)
	found := t.assess(subject)
	switch {
	case len(found.suspects) == 0:
		return Allow{}
	case now.Before(found.probeAt) || (!found.probeAt.IsZero() && !probes(found.suspects)):
		return Refuse{Suspects: found.suspects, RetryAt: found.probeAt}
	case len(intersection(found.suspects, t.trials)) > 0:
		return Wait{}
	}
	t.trials = union(t.trials, found.suspects)
	return Trial{Suspects: found.suspects}
}

// Permits reports whether a request that was allowed, for a trial of the given suspects
// or without one, may still be sent.
func (t *Table) Permits(subject Subject, trial Trial, now time.Time) bool {
	t.expire(now)
	found := t.assess(subject)
	covered := len(intersection(found.suspects, trial.Suspects)) == len(found.suspects)
	return covered && !now.Before(found.probeAt)
}

// EndTrial ends a trial.
func (t *Table) EndTrial(trial Trial) {
	t.trials = slices.DeleteFunc(t.trials, func(part string) bool { return slices.Contains(trial.Suspects, part) })
}

// Answered records that an upstream has begun to answer a request and has not crashed when it
// began. It returns the crashes that have changed.
func (t *Table) Answered(subject Subject, now time.Time) []Crash {
	t.rotate(now)
	ids := subject.ids()
	if len(t.answered)+len(ids) <= maxRecentAnswers {
		for _, id := range ids {
			t.answered[id] = true
		}
	}
	var changed []Crash
	for _, crash := range t.crashes {
		if crash.clear(ids) {
			changed = append(changed, crash.Crash)
		}
	}
	if len(changed) > 0 {
		t.evidence = nil
	}
	return changed
}

// clear marks IDs as harmless and reports whether that is new.
func (c *knownCrash) clear(ids []string) bool {
	found := intersection(c.suspects, ids)
	if len(found) == 0 {
		return false
	}
	c.Harmless = append(c.Harmless, found...)
	c.suspects = c.Suspects()
	return true
}

// Merge adds an observation of this or another entry. It returns the crash as it is
// known now, and whether that is new.
func (t *Table) Merge(observed Crash, now time.Time) (Crash, bool) {
	t.rotate(now)
	t.expire(now)
	observed.normalize()
	if len(observed.ids()) == 0 || !now.Before(observed.At.Add(crashLifetime)) {
		return observed, false
	}
	known, changed := t.find(observed), false
	if known == nil && !t.seen.add(observed.key()) {
		// it was dropped, and others may still repeat it
		return observed, false
	}
	if known == nil {
		known, changed = newKnownCrash(observed), true
		t.add(known)
	}
	// delays make a crash look later than it was
	if observed.At.Before(known.At) {
		known.At = observed.At
		t.sort()
		t.evidence = nil
	}
	if observed.Repeated && !known.Repeated {
		known.Repeated, changed = true, true
	}
	if known.clear(observed.Harmless) {
		changed = true
	}
	if known.clear(t.recentlyAnswered(known.ids())) {
		changed = true
	}
	if changed {
		t.evidence = nil
	}
	return known.Crash, changed
}

// newKnownCrash returns an observed crash of which all IDs are suspects.
func newKnownCrash(observed Crash) *knownCrash {
	return &knownCrash{
		Crash: Crash{
			Upstream: observed.Upstream, Fingerprint: observed.Fingerprint, Parts: observed.Parts,
			Repeated: observed.Repeated, At: observed.At,
		},
		key:      observed.key(),
		suspects: observed.ids(),
		hashes:   Subject{Fingerprint: observed.Fingerprint, Parts: observed.Parts}.hashes(),
	}
}

// Crashes returns all crashes that are known.
func (t *Table) Crashes(now time.Time) []Crash {
	t.expire(now)
	crashes := make([]Crash, 0, len(t.crashes))
	for _, crash := range t.crashes {
		crashes = append(crashes, crash.Crash)
	}
	return crashes
}

func (t *Table) find(observed Crash) *knownCrash {
	key := observed.key()
	for _, crash := range t.crashes {
		if crash.key == key {
			return crash
		}
	}
	return nil
}

// add adds a crash. If the table is full, it drops one.
func (t *Table) add(crash *knownCrash) {
	if len(t.crashes) >= maxCrashes {
		t.drop()
	}
	t.crashes = append(t.crashes, crash)
	t.sort()
}

// drop removes the oldest crash without suspects. If there is none, it removes a crash under
// a request without suspected parts that no other crash has come under, at the upstream with
// the most of these, since they say the least; and otherwise the oldest one.
func (t *Table) drop() {
	at := slices.IndexFunc(t.crashes, func(c *knownCrash) bool { return len(c.suspects) == 0 })
	if at < 0 {
		at = t.weakest()
	}
	at = max(at, 0)
	t.crashes = slices.Delete(t.crashes, at, at+1)
	t.evidence = nil
}

// weakest returns the index of the crash that says the least, or -1.
func (t *Table) weakest() int {
	requests, single := t.evidenceOf().requests, map[string]int{}
	isSingle := func(c *knownCrash) bool {
		return len(c.suspectedParts()) == 0 && len(requests[c.Fingerprint].upstreams) < quarantineCrashes
	}
	for _, crash := range t.crashes {
		if isSingle(crash) {
			single[crash.Upstream]++
		}
	}
	found := -1
	for at, crash := range t.crashes {
		if isSingle(crash) && (found < 0 || single[crash.Upstream] > single[t.crashes[found].Upstream]) {
			found = at
		}
	}
	return found
}

func (t *Table) sort() {
	slices.SortStableFunc(t.crashes, func(a, b *knownCrash) int { return a.At.Compare(b.At) })
}

// expire drops the crashes that no longer count.
func (t *Table) expire(now time.Time) {
	if len(t.crashes) == 0 || now.Before(t.crashes[0].At.Add(crashLifetime)) || now.Before(t.expireAt) {
		return
	}
	t.expireAt = now.Add(expiryInterval)
	kept := make([]*knownCrash, 0, len(t.crashes))
	for _, crash := range t.crashes {
		if now.Before(t.lastRelated(crash).Add(crashLifetime)) {
			kept = append(kept, crash)
		}
	}
	if len(kept) < len(t.crashes) {
		t.crashes, t.evidence = kept, nil
	}
}

// lastRelated returns the time of the last crash that shares a suspect with a crash. A
// request that is not to be sent again is kept longer.
func (t *Table) lastRelated(crash *knownCrash) time.Time {
	last := crash.At
	if request := t.evidenceOf().requests[crash.suspectedRequest()]; request.ended() {
		last = request.last.Add(endedRequestLifetime - crashLifetime)
	}
	for _, other := range t.crashes {
		if len(intersection(other.suspects, crash.suspects)) > 0 {
			last = later(last, other.At)
		}
	}
	return last
}

// seenKeys recognises keys by their hashes, in two generations of limited size.
type seenKeys struct{ recent, older map[uint64]bool }

// add adds a key and reports whether it is new.
func (s *seenKeys) add(key string) bool {
	hash := xxhash.Sum64String(key)
	if s.recent[hash] || s.older[hash] {
		return false
	}
	if len(s.recent) >= maxSeen {
		s.older, s.recent = s.recent, map[uint64]bool{}
	}
	s.recent[hash] = true
	return true
}

func (t *Table) rotate(now time.Time) {
	if now.Before(t.rotateAt) {
		return
	}
	t.answeredBefore, t.rosters.answeredBefore = t.answered, t.rosters.answered
	if !now.Before(t.rotateAt.Add(recentAnswer)) {
		t.answeredBefore, t.rosters.answeredBefore = nil, nil
	}
	t.answered, t.rosters.answered = map[string]bool{}, map[uint64]int{}
	t.rotateAt = now.Add(recentAnswer)
}

func (t *Table) recentlyAnswered(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		return !t.answered[id] && !t.answeredBefore[id]
	})
}

// normalize drops unusable IDs and sorts the parts.
func (c *Crash) normalize() {
	if len(normalize([]string{c.Fingerprint})) == 0 {
		c.Fingerprint = ""
	}
	c.Parts = normalize(c.Parts)
}

// normalize returns the distinct usable parts in ascending order.
func normalize(parts []string) []string {
	usable := slices.DeleteFunc(slices.Clone(parts), func(part string) bool {
		return part == "" || len(part) > maxPartBytes || !utf8.ValidString(part)
	})
	slices.Sort(usable)
	usable = slices.Compact(usable)
	return usable[:min(len(usable), maxParts)]
}

func intersection(a, b []string) []string {
	var common []string
	for _, part := range a {
		if slices.Contains(b, part) {
			common = append(common, part)
		}
	}
	return common
}

func union(a, b []string) []string {
	for _, part := range b {
		if !slices.Contains(a, part) {
			a = append(a, part)
		}
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
