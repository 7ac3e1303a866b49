package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rosterCrashes is the number of crashes at which the same suspects must have been at
	// work before requests with all of them are refused. It exceeds quarantineCrashes,
	// because an upstream ends many sound answers with it.
	rosterCrashes = 3
	// sameCrashInterval is the time within which an upstream crashes once. It needs longer
	// to be back, and reports of one crash differ by less.
	sameCrashInterval = 2 * time.Second
	// maxEventsApart is the number of events by which the ends of short answers may differ that
	// break off for the same cause.
	maxEventsApart = 4
	// maxRosters is the number of rosters that are kept. It is the number of bits of a
	// crashSet.
	maxRosters = 64
	// maxRosterIDs is the number of suspects that are kept of one roster.
	maxRosterIDs = 512
)

// HashID returns the short form of a fingerprint or of a part's ID.
func HashID(id string) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}

// hashes returns the short forms of the fingerprint and the parts.
func (s Subject) hashes() []uint64 {
	ids := s.ids()
	hashes := make([]uint64, 0, len(ids))
	for _, id := range ids {
		hashes = append(hashes, HashID(id))
	}
	return hashes
}

// Suspect is what may have crashed an upstream.
type Suspect struct {
	// ID is the short form of a fingerprint or of a part's ID.
	ID uint64
	// Events is how far the answers had come: the number of events of the longest one.
	Events int
	// Outlived is how far another answer has come since, if that clears the suspect, and
	// else zero.
	Outlived int
}

// cleared reports whether another answer came much further.
func (s Suspect) cleared() bool { return outlives(s.Outlived, s.Events) }

// outlives reports whether an answer of a number of events shows that its parts are not what
// broke off another one: a cause crashes upstreams at about the same place.
func outlives(events, other int) bool { return events > 2*other+maxEventsApart }

// Roster is an observation: an upstream crashed while requests were at work there. Unlike a
// Crash it contains all of them, however far their answers had come, and says little about
// each: the cause is among the suspects, and the others lost their answers. It is
// identified by Upstream and by At, within sameCrashInterval.
type Roster struct {
	// Upstream is the incarnation that crashed.
	Upstream string
	// Suspects are the fingerprints and shared prompt parts of the requests.
	Suspects []Suspect
	// At is when the upstream crashed.
	At time.Time
}

// rosterTable contains the rosters known to an entry.
type rosterTable struct {
	// rosters are in ascending order of time.
	rosters []*knownRoster
	// seen contains the upstreams of rosters that were known before.
	seen seenKeys
	// answered and answeredBefore map the short forms of the IDs of recent answers to their
	// events.
	answered, answeredBefore map[uint64]int
	// convictions are drawn from rosters if drawn is set.
	convictions []conviction
	drawn       bool
	// reported maps the first ID of each conviction that was reported to its crashes.
	reported map[uint64]int
}

// knownRoster is a roster in a table.
type knownRoster struct {
	upstream string
	at       time.Time
	// suspects maps IDs to suspects, also to cleared ones.
	suspects map[uint64]Suspect
}

// copied returns a copy for other entries.
func (r *knownRoster) copied() Roster {
	suspects := make([]Suspect, 0, len(r.suspects))
	for _, id := range slices.Sorted(maps.Keys(r.suspects)) {
		suspects = append(suspects, r.suspects[id])
	}
	return Roster{Upstream: r.upstream, Suspects: suspects, At: r.at}
}

// add adds what another observation says of a suspect and reports whether it is new.
func (r *knownRoster) add(suspect Suspect) bool {
	known, found := r.suspects[suspect.ID]
	if !found && len(r.suspects) >= maxRosterIDs {
		return false
	}
	merged := Suspect{ID: suspect.ID, Events: max(known.Events, suspect.Events), Outlived: max(known.Outlived, suspect.Outlived)}
	r.suspects[suspect.ID] = merged
	return !found || merged != known
}

// clear clears the suspects that an answer of a number of events outlives, and reports
// whether that is new.
func (r *knownRoster) clear(ids []uint64, events int) bool {
	changed := false
	for _, id := range ids {
		if suspect, found := r.suspects[id]; found && !suspect.cleared() && outlives(events, suspect.Events) {
			suspect.Outlived = events
			r.suspects[id] = suspect
			changed = true
		}
	}
	return changed
}

// find returns the roster of a crash, or nil.
func (t *rosterTable) find(upstream string, at time.Time) *knownRoster {
	for _, roster := range t.rosters {
		if roster.upstream == upstream && at.Sub(roster.at).Abs() < sameCrashInterval {
			return roster
		}
	}
	return nil
}

// MergeRoster adds an observation of this or another entry and reports whether it is new.
func (t *Table) MergeRoster(observed Roster, now time.Time) bool {
	t.rotate(now)
	t.expireRosters(now)
	if observed.Upstream == "" || len(observed.Upstream) > maxPartBytes || !now.Before(observed.At.Add(crashLifetime)) {
		return false
	}
	known := t.rosters.find(observed.Upstream, observed.At)
	if known == nil && !t.rosters.seen.add(observed.Upstream+observed.At.Round(sameCrashInterval).String()) {
		return false
	}
	changed := known == nil
	if known == nil {
		known = &knownRoster{upstream: observed.Upstream, at: observed.At, suspects: map[uint64]Suspect{}}
		t.rosters.insert(known)
	}
	if observed.At.Before(known.at) {
		// delays make a crash look later than it was
		known.at = observed.At
		t.rosters.sort()
		t.forgetConclusions()
	}
	for _, suspect := range observed.Suspects {
		if recent := t.rosters.recentEvents(suspect.ID); outlives(recent, suspect.Events) {
			suspect.Outlived = max(suspect.Outlived, recent)
		}
		changed = known.add(suspect) || changed
	}
	if changed {
		t.forgetConclusions()
	}
	return changed
}

// forgetConclusions discards what was drawn from crashes and rosters.
func (t *Table) forgetConclusions() { t.rosters.drawn, t.evidence = false, nil }

func (t *rosterTable) insert(roster *knownRoster) {
	if len(t.rosters) >= maxRosters {
		t.rosters = slices.Delete(t.rosters, 0, 1)
	}
	t.rosters = append(t.rosters, roster)
	t.sort()
}

func (t *rosterTable) sort() {
	slices.SortStableFunc(t.rosters, func(a, b *knownRoster) int { return a.at.Compare(b.at) })
}

// Rosters returns all rosters that are known.
func (t *Table) Rosters(now time.Time) []Roster {
	t.expireRosters(now)
	rosters := make([]Roster, 0, len(t.rosters.rosters))
	for _, roster := range t.rosters.rosters {
		rosters = append(rosters, roster.copied())
	}
	return rosters
}

// RostersOf returns the rosters of an upstream.
func (t *Table) RostersOf(upstream string) []Roster {
	var rosters []Roster
	for _, roster := range t.rosters.rosters {
		if roster.upstream == upstream {
			rosters = append(rosters, roster.copied())
		}
	}
	return rosters
}

// CrashedAt reports whether an upstream is known to have crashed at about a time.
func (t *Table) CrashedAt(upstream string, at time.Time) bool {
	return t.rosters.find(upstream, at) != nil
}

// wholeAnswer is the number of events of an answer that has ended.
const wholeAnswer = math.MaxInt32

// Lasted records that an answer to a request has come to a number of events. It returns the
// upstreams whose rosters have changed.
func (t *Table) Lasted(subject Subject, events int, now time.Time) []string {
	return t.lasted(subject.hashes(), events, now)
}

func (t *Table) lasted(ids []uint64, events int, now time.Time) []string {
	t.rotate(now)
	for _, id := range ids {
		if len(t.rosters.answered) < maxRecentAnswers {
			t.rosters.answered[id] = max(t.rosters.answered[id], events)
		}
	}
	var changed []string
	for _, roster := range t.rosters.rosters {
		if roster.clear(ids, events) {
			changed = append(changed, roster.upstream)
		}
	}
	if len(changed) > 0 {
		t.forgetConclusions()
	}
	return changed
}

// Completed records that an upstream has answered a request to its end, so that neither
// the request nor a part is the cause of a crash. It returns the upstreams whose rosters have
// changed.
func (t *Table) Completed(subject Subject, now time.Time) []string {
	return t.Lasted(subject, wholeAnswer, now)
}

// recentEvents returns how far recent answers with an ID came.
func (t *rosterTable) recentEvents(id uint64) int { return max(t.answered[id], t.answeredBefore[id]) }

// expireRosters drops the rosters that no longer count.
func (t *Table) expireRosters(now time.Time) {
	if len(t.rosters.rosters) == 0 || now.Before(t.rosters.rosters[0].at.Add(crashLifetime)) {
		return
	}
	convictions := t.convictions()
	kept := slices.DeleteFunc(slices.Clone(t.rosters.rosters), func(roster *knownRoster) bool {
		if now.Before(roster.at.Add(crashLifetime)) {
			return false
		}
		return !slices.ContainsFunc(convictions, func(c conviction) bool {
			return slices.Contains(c.upstreams, roster.upstream) && now.Before(c.forgetAt())
		})
	})
	if len(kept) < len(t.rosters.rosters) {
		t.rosters.rosters = kept
		t.forgetConclusions()
	}
}
