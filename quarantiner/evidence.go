package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// evidence is what the crashes say about requests that repeat each other.
type evidence struct {
	// crashes are those that no conviction of another cause explains.
	crashes []*knownCrash
	// requests maps the fingerprints that are suspects to the crashes under them.
	requests map[string]requestEvidence
	// causes maps upstreams that crashed to the quarantined request that was at work.
	causes map[string]string
}

// requestEvidence describes the crashes under one request.
type requestEvidence struct {
	explained
	// accompanied is set if another request was at work at each of the crashes as well.
	accompanied bool
}

// explained are the upstreams that crashed at different times with the same possible
// cause.
type explained struct {
	upstreams []string
	last      time.Time
}

// add counts a crash if it is of another upstream and later than those before. One under a
// request that was sent after an earlier crash is later.
func (e *explained) add(upstream string, at time.Time, repeated bool) {
	if slices.Contains(e.upstreams, upstream) {
		return
	}
	if !repeated && len(e.upstreams) > 0 && at.Before(e.last.Add(minCrashInterval)) {
		return
	}
	e.upstreams = append(e.upstreams, upstream)
	e.last = at
}

// quarantined reports whether a request is the cause of the crashes under it.
func (r requestEvidence) quarantined() bool {
	if r.accompanied {
		return len(r.upstreams) >= accompaniedCrashes
	}
	return len(r.upstreams) >= quarantineCrashes
}

// ended reports whether a request is not to be sent again.
func (r requestEvidence) ended() bool {
	return r.quarantined() && len(r.upstreams) >= quarantineCrashes+len(requestProbeDelays)
}

// probeAt returns when a quarantined request may be sent again.
func (r requestEvidence) probeAt() time.Time {
	if r.ended() {
		return r.last.Add(endedRequestLifetime)
	}
	return r.last.Add(requestProbeDelays[len(r.upstreams)-quarantineCrashes])
}

// evidenceOf returns what the crashes say about requests.
func (t *Table) evidenceOf() *evidence {
	if t.evidence == nil {
		t.evidence = newEvidence(unexplained(t.crashes, t.convictions()))
	}
	return t.evidence
}

// unexplained returns the crashes without those of upstreams that other requests crashed.
func unexplained(crashes []*knownCrash, convictions []conviction) []*knownCrash {
	if len(convictions) == 0 {
		return crashes
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(crash *knownCrash) bool {
		explained := false
		for _, c := range convictions {
			if !slices.Contains(c.upstreams, crash.Upstream) {
				continue
			}
			if c.appliesTo(crash.hashes) {
				return false
			}
			explained = true
		}
		return explained
	})
}

// newEvidence draws evidence from crashes in ascending order of time.
func newEvidence(crashes []*knownCrash) *evidence {
	e := &evidence{crashes: crashes, requests: map[string]requestEvidence{}, causes: map[string]string{}}
	atWork := map[string][]string{} // by upstream
	for _, crash := range crashes {
		if crash.Fingerprint != "" {
			atWork[crash.Upstream] = append(atWork[crash.Upstream], crash.Fingerprint)
		}
		fingerprint := crash.suspectedRequest()
		if fingerprint == "" {
			continue
		}
		request := e.requests[fingerprint]
		request.add(crash.Upstream, crash.At, crash.Repeated)
		e.requests[fingerprint] = request
	}
	for fingerprint, request := range e.requests {
		request.accompanied = isAccompanied(fingerprint, request.upstreams, atWork)
		e.requests[fingerprint] = request
		if !request.quarantined() {
			continue
		}
		for _, upstream := range request.upstreams {
			e.causes[upstream] = max(e.causes[upstream], fingerprint)
		}
	}
	return e
}

// isAccompanied reports whether another request was at work at all these crashes. If that
// one is harmless, it shows that a sound request can be.
func isAccompanied(fingerprint string, upstreams []string, atWork map[string][]string) bool {
	common := atWork[upstreams[0]]
	for _, upstream := range upstreams[1:] {
		common = intersection(common, atWork[upstream])
	}
	return slices.ContainsFunc(common, func(other string) bool { return other != fingerprint })
}

// assessment is what the crashes say about one request.
type assessment struct {
	// suspects are the request's IDs that may be the cause of a crash.
	suspects []string
	// probeAt is when the request may be sent if it is quarantined, or else zero.
	probeAt time.Time
}

func (t *Table) assess(subject Subject) assessment {
	var found assessment
	// last is the time of the last crash with a suspect among the parts
	var last time.Time
	var byParts partsEvidence
	ids, requests := subject.ids(), t.evidenceOf()
	for _, crash := range requests.crashes {
		common := intersection(crash.suspects, ids)
		if len(common) == 0 {
			continue
		}
		found.suspects = union(found.suspects, common)
		parts := crash.suspectedParts()
		shared := intersection(parts, subject.Parts)
		if len(shared) == 0 {
			continue
		}
		last = later(last, crash.At)
		if len(shared) == len(parts) {
			byParts.addCrash(crash, requests.causes[crash.Upstream])
		}
	}
	if byParts.quarantined() {
		found.probeAt = last.Add(probeAfter)
	}
	if request := requests.requests[subject.Fingerprint]; request.quarantined() {
		found.probeAt = later(found.probeAt, request.probeAt())
	}
	t.applyConvictions(subject, &found)
	return found
}

// applyConvictions adds what the rosters say about a request.
func (t *Table) applyConvictions(subject Subject, found *assessment) {
	convictions := t.convictions()
	if len(convictions) == 0 {
		return
	}
	ids, hashes := subject.ids(), subject.hashes()
	for _, c := range convictions {
		if !c.appliesTo(hashes) {
			continue
		}
		found.probeAt = later(found.probeAt, c.probeAt())
		for i, hash := range hashes {
			if slices.Contains(c.ids, hash) {
				found.suspects = union(found.suspects, ids[i:i+1])
			}
		}
	}
}

// partsEvidence describes the crashes that have no suspected parts besides those of one
// request, so that a request with all of them contains the cause.
type partsEvidence struct {
	explained
	// requests are the suspected requests that were at work, or the upstream where there
	// is none.
	requests []string
}

// addCrash counts a crash. Those with the same quarantined request as their cause count as
// one, since the request explains them without its parts.
func (p *partsEvidence) addCrash(crash *knownCrash, cause string) {
	p.add(cmp.Or(cause, crash.Upstream), crash.At, false)
	p.requests = union(p.requests, []string{cmp.Or(crash.suspectedRequest(), crash.Upstream)})
}

// quarantined reports whether the parts are the cause of the crashes: one request alone
// may crash upstreams for another reason than its parts.
func (p *partsEvidence) quarantined() bool {
	return len(p.upstreams) >= quarantineCrashes && len(p.requests) >= quarantineCrashes
}
