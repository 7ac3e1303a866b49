package claimer

import "time"

func (t *Table) open(now time.Time, event Open) Result {
	if reason := event.validate(now); reason != "" {
		return Invalid{Reason: reason}
	}
	if e, known := t.claims[event.Key]; known {
		return t.reopen(now, e, event)
	}
	if refusal := t.refusal(now, event); refusal != nil {
		return refusal
	}
	e := &entry{Record: Record{Key: event.Key, Digest: event.Digest}}
	e.grant(now, event)
	t.claims[event.Key] = e
	t.schedule.add(e)
	return Granted{Deadline: e.Deadline}
}

// validate returns why the event is malformed, or an empty string.
func (o Open) validate(now time.Time) string {
	switch {
	case o.Key.Name == "":
		return "empty key"
	case o.Attempt == "":
		return "empty attempt"
	case len(o.Key.Subscriber)+len(o.Key.Name) > MaxKeyBytes:
		return "key too long"
	case len(o.Attempt)+len(o.Entry) > MaxAttemptBytes:
		return "attempt too long"
	case o.Deadline.After(now.Add(MaxHoldTime)):
		return "deadline too far away"
	default:
		return ""
	}
}

// refusal returns why an Open of an unknown key is refused, or nil.
func (t *Table) refusal(now time.Time, event Open) Result {
	horizon := now.Add(ClockMargin - ClaimRetention)
	switch {
	case !event.Issued.IsZero() && event.Issued.Before(horizon):
		return TooOld{Horizon: horizon}
	case event.Issued.After(now.Add(ClockMargin)):
		return Invalid{Reason: "issued in the future"}
	case !now.Before(event.Deadline):
		return Overdue{}
	case len(t.claims) >= MaxClaims:
		retry, _ := t.NextExpiry()
		return Full{Retry: retry}
	default:
		return nil
	}
}

// reopen handles an Open of a known key.
func (t *Table) reopen(now time.Time, e *entry, event Open) Result {
	if e.Digest != event.Digest {
		return Mismatch{}
	}
	switch e.Phase {
	case PhaseHeld:
		if e.Attempt == event.Attempt {
			return Granted{Deadline: e.Deadline}
		}
		return Pending{Deadline: e.Deadline}
	case PhaseReleased:
		return t.regrant(now, e, event)
	case PhaseFinished:
		if e.AnswerStored {
			return Answered{Answer: e.Answer}
		}
		return AnswerDropped{}
	default:
		return Unknown{}
	}
}

// regrant grants a released claim to a new attempt.
func (t *Table) regrant(now time.Time, e *entry, event Open) Result {
	e.dropExpiredReleases(now)
	switch {
	case e.hasReleased(event.Attempt):
		return Stale{}
	case !now.Before(event.Deadline):
		return Overdue{}
	case len(e.Released) >= MaxReleasedAttempts:
		return Full{Retry: e.Released[0].Deadline}
	}
	e.grant(now, event)
	t.schedule.update(e)
	return Granted{Deadline: e.Deadline}
}

func (e *entry) grant(now time.Time, event Open) {
	e.Phase = PhaseHeld
	e.Attempt, e.Entry = event.Attempt, event.Entry
	e.Deadline = event.Deadline
	e.ExpiresAt = now.Add(ClaimRetention)
}

func (t *Table) finish(now time.Time, event Finish) Result {
	e, known := t.claims[event.Key]
	if !known || e.Attempt != event.Attempt || e.Phase == PhaseReleased {
		return Stale{}
	}
	if e.Phase == PhaseFinished {
		return Recorded{}
	}
	e.Phase = PhaseFinished
	e.AnswerExpiresAt = now.Add(AnswerRetention)
	if event.Answer.Size() <= MaxAnswerBytes {
		t.storeAnswer(e, event.Answer)
	}
	t.schedule.update(e)
	return Recorded{}
}

func (t *Table) release(now time.Time, event Release) Result {
	e, known := t.claims[event.Key]
	if !known {
		return Stale{}
	}
	if e.hasReleased(event.Attempt) {
		return Recorded{}
	}
	if e.Phase != PhaseHeld || e.Attempt != event.Attempt {
		return Stale{}
	}
	e.dropExpiredReleases(now)
	e.Phase = PhaseReleased
	e.Released = append(e.Released, ReleasedAttempt{Attempt: e.Attempt, Deadline: e.Deadline})
	e.ExpiresAt = latestDeadline(e.Released)
	t.schedule.update(e)
	return Recorded{}
}

// latestDeadline returns the time from which on no Open of the attempts can be
// granted.
func latestDeadline(released []ReleasedAttempt) time.Time {
	var last time.Time
	for _, attempt := range released {
		if attempt.Deadline.After(last) {
			last = attempt.Deadline
		}
	}
	return last
}

func (t *Table) markUnknown(event MarkUnknown) Result {
	e, known := t.claims[event.Key]
	if !known || e.Attempt != event.Attempt {
		return Stale{}
	}
	switch e.Phase {
	case PhaseHeld:
		e.Phase = PhaseUnknown
		t.schedule.update(e)
		return Recorded{}
	case PhaseUnknown:
		return Recorded{}
	default:
		return Stale{}
	}
}
