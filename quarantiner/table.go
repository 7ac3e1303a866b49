// Package quarantiner keeps requests away from upstreams if their prompts have a part
// that makes each upstream crash. Such requests arrive at any entry, so entries share
// what they observe: which parts were being answered when an upstream crashed, and
// which of these parts another answer has since shown to be harmless.
//
// The Table decides and is pure. The Quarantiner serves an entry's requests and passes
// observations between entries.
package quarantiner

import (
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// quarantineCrashes is the number of crashes that must be explained by the parts of
	// a request before it is refused. One may have another cause.
	quarantineCrashes = 2
	// minCrashInterval is the time between two crashes that count as two. Upstreams that
	// end at the same moment have another cause in common than the parts of a prompt.
	minCrashInterval = 100 * time.Millisecond
	// crashLifetime is how long a crash counts after the last one that shares a part
	// with it.
	crashLifetime = 10 * time.Minute
	// probeAfter is the time since the last crash from which on one request is sent to
	// find out whether its parts still crash upstreams.
	probeAfter = 5 * time.Minute
	// recentAnswer is how long an answer shows that its parts are harmless to crashes
	// that are reported after it. It lasts up to twice as long.
	recentAnswer = time.Second
	// maxCrashes is the number of crashes that are kept.
	maxCrashes = 128
	// maxParts is the number of parts of a prompt that are considered, maxPartBytes the
	// length of an ID. Longer ones are ignored.
	maxParts     = 64
	maxPartBytes = 128
	// maxRecentAnswers is the number of parts of recent answers that are kept in each of
	// two generations.
	maxRecentAnswers = 4096
)

// Crash is an observation: an upstream crashed when it began to answer a request. It is
// identified by Upstream and Parts.
type Crash struct {
	// Upstream is the incarnation that crashed.
	Upstream string
	// Parts are the IDs of the request's shared prompt parts. One of them may be the
	// cause.
	Parts []string
	// Harmless are those of Parts that an upstream has answered since.
	Harmless []string
	// At is when the upstream crashed.
	At time.Time
}

// key identifies a crash.
func (c *Crash) key() string { return c.Upstream + " " + strings.Join(c.Parts, " ") }

// Suspects returns the parts that are not harmless.
func (c *Crash) Suspects() []string {
	return slices.DeleteFunc(slices.Clone(c.Parts), func(part string) bool { return slices.Contains(c.Harmless, part) })
}

// knownCrash is a crash in a Table.
type knownCrash struct {
	Crash
	key      string
	suspects []string
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

// Refuse keeps a request from being sent. RetryAt is when its parts are tried again.
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
	// trials are the suspects of requests that are being sent.
	trials []string
	// answered and answeredBefore contain the parts of recent answers. The former
	// replaces the latter at rotateAt.
	answered, answeredBefore map[string]bool
	rotateAt                 time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{answered: map[string]bool{}} }

// Decide returns whether a request with these parts may be sent. A Trial must be ended
// with EndTrial. Probes reports whether this entry is the one that probes suspects.
func (t *Table) Decide(parts []string, probes func(suspects []string) bool, now time.Time) Verdict {
	t.expire(now)
	found := t.assess(parts)
	switch {
	case len(found.suspects) == 0:
		return Allow{}
	case found.quarantined() && (now.Before(found.probeAt()) || !probes(found.suspects)):
		return Refuse{Suspects: found.suspects, RetryAt: found.probeAt()}
	case len(intersection(found.suspects, t.trials)) > 0:
		return Wait{}
	}
	t.trials = union(t.trials, found.suspects)
	return Trial{Suspects: found.suspects}
}

// Permits reports whether a request that was allowed, for a trial of the given suspects
// or without one, may still be sent.
func (t *Table) Permits(parts []string, trial Trial, now time.Time) bool {
	t.expire(now)
	found := t.assess(parts)
	covered := len(intersection(found.suspects, trial.Suspects)) == len(found.suspects)
	return covered && (!found.quarantined() || !now.Before(found.probeAt()))
}

// assessment is what the crashes say about the parts of a request.
type assessment struct {
	// suspects are the parts that may be the cause of a crash.
	suspects []string
	// explained are the upstreams whose crashes, at different times, have no suspect
	// besides these parts, so that a request with all of them contains the cause.
	// lastExplained is the time of the last of them.
	explained     []string
	lastExplained time.Time
	// last is the time of the last crash with a suspect among the parts.
	last time.Time
}

func (a *assessment) quarantined() bool  { return len(a.explained) >= quarantineCrashes }
func (a *assessment) probeAt() time.Time { return a.last.Add(probeAfter) }

// explain counts a crash if it is of another upstream and later than those before.
func (a *assessment) explain(crash *Crash) {
	if slices.Contains(a.explained, crash.Upstream) {
		return
	}
	if len(a.explained) > 0 && crash.At.Before(a.lastExplained.Add(minCrashInterval)) {
		return
	}
	a.explained = append(a.explained, crash.Upstream)
	a.lastExplained = crash.At
}

func (t *Table) assess(parts []string) assessment {
	var found assessment
	for _, crash := range t.crashes {
		common := intersection(crash.suspects, parts)
		if len(common) == 0 {
			continue
		}
		found.suspects = union(found.suspects, common)
		if len(common) == len(crash.suspects) {
			found.explain(&crash.Crash)
		}
		found.last = later(found.last, crash.At)
	}
	return found
}

// EndTrial ends a trial.
func (t *Table) EndTrial(trial Trial) {
	t.trials = slices.DeleteFunc(t.trials, func(part string) bool { return slices.Contains(trial.Suspects, part) })
}

// Answered records that an upstream answers a request with these parts and has not
// crashed. It returns the crashes that have changed.
func (t *Table) Answered(parts []string, now time.Time) []Crash {
	t.rotate(now)
	if len(t.answered)+len(parts) <= maxRecentAnswers {
		for _, part := range parts {
			t.answered[part] = true
		}
	}
	var changed []Crash
	for _, crash := range t.crashes {
		if crash.clear(parts) {
			changed = append(changed, crash.Crash)
		}
	}
	return changed
}

// clear marks parts as harmless and reports whether that is new.
func (c *knownCrash) clear(parts []string) bool {
	found := intersection(c.suspects, parts)
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
	observed.Parts = normalize(observed.Parts)
	if len(observed.Parts) == 0 || !now.Before(observed.At.Add(crashLifetime)) {
		return observed, false
	}
	known, changed := t.find(observed), false
	if known == nil {
		known, changed = newKnownCrash(observed), true
		t.add(known)
	}
	// delays make a crash look later than it was
	if observed.At.Before(known.At) {
		known.At = observed.At
		t.sort()
	}
	if known.clear(observed.Harmless) {
		changed = true
	}
	if known.clear(t.recentlyAnswered(known.Parts)) {
		changed = true
	}
	return known.Crash, changed
}

// newKnownCrash returns an observed crash of which all parts are suspects.
func newKnownCrash(observed Crash) *knownCrash {
	return &knownCrash{
		Crash:    Crash{Upstream: observed.Upstream, Parts: observed.Parts, At: observed.At},
		key:      observed.key(),
		suspects: observed.Parts,
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

// add adds a crash. If the table is full, it drops the oldest one without suspects, or
// else the oldest one.
func (t *Table) add(crash *knownCrash) {
	if len(t.crashes) >= maxCrashes {
		drop := slices.IndexFunc(t.crashes, func(c *knownCrash) bool { return len(c.suspects) == 0 })
		t.crashes = slices.Delete(t.crashes, max(drop, 0), max(drop, 0)+1)
	}
	t.crashes = append(t.crashes, crash)
	t.sort()
}

func (t *Table) sort() {
	slices.SortStableFunc(t.crashes, func(a, b *knownCrash) int { return a.At.Compare(b.At) })
}

// expire drops the crashes that no longer count.
func (t *Table) expire(now time.Time) {
	if len(t.crashes) == 0 || now.Before(t.crashes[0].At.Add(crashLifetime)) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(crash *knownCrash) bool {
		return !now.Before(t.lastRelated(crash).Add(crashLifetime))
	})
}

// lastRelated returns the time of the last crash that shares a suspect with a crash.
func (t *Table) lastRelated(crash *knownCrash) time.Time {
	last := crash.At
	for _, other := range t.crashes {
		if len(intersection(other.suspects, crash.suspects)) > 0 {
			last = later(last, other.At)
		}
	}
	return last
}

func (t *Table) rotate(now time.Time) {
	if now.Before(t.rotateAt) {
		return
	}
	t.answeredBefore = t.answered
	if !now.Before(t.rotateAt.Add(recentAnswer)) {
		t.answeredBefore = nil
	}
	t.answered = map[string]bool{}
	t.rotateAt = now.Add(recentAnswer)
}

func (t *Table) recentlyAnswered(parts []string) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool {
		return !t.answered[part] && !t.answeredBefore[part]
	})
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
