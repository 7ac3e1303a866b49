package quarantiner

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// conviction is a conclusion from rosters: requests with all of these IDs crash upstreams.
type conviction struct {
	ids       []uint64
	upstreams []string
	// crashes is the number of crashes at different times, last the time of the last one.
	crashes int
	last    time.Time
}

// appliesTo reports whether a request contains all IDs of the conviction.
func (c *conviction) appliesTo(hashes []uint64) bool {
	for _, id := range c.ids {
		if !slices.Contains(hashes, id) {
			return false
		}
	}
	return true
}

// ended reports whether such requests are not to be sent again.
func (c *conviction) ended() bool { return c.crashes >= quarantineCrashes+len(requestProbeDelays) }

// probeAt returns when one such request may be sent again.
func (c *conviction) probeAt() time.Time {
	if c.ended() {
		return c.last.Add(endedRequestLifetime)
	}
	return c.last.Add(requestProbeDelays[c.crashes-quarantineCrashes])
}

// forgetAt returns when the conviction no longer counts.
func (c *conviction) forgetAt() time.Time {
	if c.ended() {
		return c.probeAt()
	}
	return c.last.Add(crashLifetime)
}

// convictions returns what the rosters say about the causes of crashes.
func (t *Table) convictions() []conviction {
	if !t.rosters.drawn {
		t.rosters.convictions, t.rosters.drawn = convict(t.rosters.rosters), true
	}
	return t.rosters.convictions
}

// newConvictions returns the convictions that are new or have more crashes since the last
// call.
func (t *Table) newConvictions() []conviction {
	var added []conviction
	reported := map[uint64]int{}
	for _, c := range t.convictions() {
		reported[c.ids[0]] = c.crashes
		if t.rosters.reported[c.ids[0]] < c.crashes {
			added = append(added, c)
		}
	}
	t.rosters.reported = reported
	return added
}

// crashSet is a set of crashes, by the index of their rosters.
type crashSet uint64

func (s crashSet) len() int { return bits.OnesCount64(uint64(s)) }

// times returns the different times of the crashes. Those that follow each other within
// minCrashInterval have another cause in common than what was at work.
func (s crashSet) times(rosters []*knownRoster) []time.Time {
	var times []time.Time
	for i, roster := range rosters {
		if s&(1<<i) != 0 && (len(times) == 0 || !roster.at.Before(times[len(times)-1].Add(minCrashInterval))) {
			times = append(times, roster.at)
		}
	}
	return times
}

// suspicion is what the rosters say about one suspect.
type suspicion struct {
	crashes crashSet
	// events is how far its answers came at most.
	events int
}

// explanation is a group of suspects that were at work at the same crashes, and whose answers
// came equally far.
type explanation struct {
	suspicion
	ids []uint64
}

// convict finds the causes of the crashes in rosters of ascending time. A cause was at work
// at all crashes that it explains, so the suspects at most crashes are taken first, and the
// crashes then say nothing about what else was at work there. Suspects that can't be told
// apart are a cause only together. Suspects of which each explains some of the same crashes
// equally well are left undecided: the next crash tells.
func convict(rosters []*knownRoster) []conviction {
	if len(rosters) < rosterCrashes {
		return nil
	}
	suspects, crashes := suspectsOf(rosters), ^crashSet(0)
	var convictions []conviction
	for {
		groups, left := mostCrashes(suspects, crashes, rosters), crashes
		for _, group := range groups {
			if !group.contested(groups) {
				convictions = append(convictions, newConviction(group, rosters))
				left &^= group.crashes
			}
		}
		if left == crashes {
			return convictions
		}
		crashes = left
	}
}

// suspectsOf returns the suspects at enough crashes for a conviction. A crash where an answer
// broke off much earlier than at another one is not counted.
func suspectsOf(rosters []*knownRoster) map[uint64]suspicion {
	suspects := map[uint64]suspicion{}
	for _, roster := range rosters {
		for id, suspect := range roster.suspects {
			suspects[id] = suspicion{events: max(suspects[id].events, suspect.Events)}
		}
	}
	for i, roster := range rosters {
		for id, suspect := range roster.suspects {
			if found := suspects[id]; !suspect.cleared() && !outlives(found.events, suspect.Events) {
				found.crashes |= 1 << i
				suspects[id] = found
			}
		}
	}
	maps.DeleteFunc(suspects, func(_ uint64, found suspicion) bool { return found.crashes.len() < rosterCrashes })
	return suspects
}

// mostCrashes returns the groups of suspects at most of the crashes. Fewer than rosterCrashes
// at different times don't count. Of the suspects at the same crashes, only those whose
// answers came least far are returned: a cause crashes upstreams at the same place of each
// answer, and the others had come to any place.
func mostCrashes(suspects map[uint64]suspicion, crashes crashSet, rosters []*knownRoster) []explanation {
	groups, most := map[crashSet]explanation{}, rosterCrashes
	for _, id := range slices.Sorted(maps.Keys(suspects)) {
		found := suspects[id]
		found.crashes &= crashes
		if found.crashes.len() < most || len(found.crashes.times(rosters)) < rosterCrashes {
			continue
		}
		if found.crashes.len() > most {
			most = found.crashes.len()
			clear(groups)
		}
		group, exists := groups[found.crashes]
		switch {
		case !exists || found.events < group.events:
			group = explanation{suspicion: found, ids: []uint64{id}}
		case found.events == group.events:
			group.ids = append(group.ids, id)
		}
		groups[found.crashes] = group
	}
	return slices.SortedFunc(maps.Values(groups), func(a, b explanation) int { return cmp.Compare(a.ids[0], b.ids[0]) })
}

// contested reports whether another group explains some of the same crashes as well.
func (e *explanation) contested(groups []explanation) bool {
	return slices.ContainsFunc(groups, func(other explanation) bool {
		return other.crashes != e.crashes && other.crashes&e.crashes != 0 && other.events <= e.events
	})
}

func newConviction(group explanation, rosters []*knownRoster) conviction {
	times := group.crashes.times(rosters)
	c := conviction{ids: group.ids, crashes: len(times), last: times[len(times)-1]}
	for i, roster := range rosters {
		if group.crashes&(1<<i) != 0 {
			c.upstreams = append(c.upstreams, roster.upstream)
			c.last = later(c.last, roster.at)
		}
	}
	return c
}
