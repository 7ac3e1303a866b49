package charger

import (
	"math"
	"slices"
	"time"

	"burdocklink/accountant"
	"burdocklink/matcher"
)

const (
	// maxAsked is the number of waiting requests of one organisation in one question.
	maxAsked = 64
	// rateTime is the time constant by which the counts of past requests decay.
	rateTime = 2 * time.Second
	// stockTime is the time for whose requests spare units are wanted.
	stockTime = 500 * time.Millisecond
	// minStockRequests is the least number of requests within stockTime for which spare
	// units are wanted. Units for fewer would mostly expire.
	minStockRequests = 0.5
	// maxAccounts bounds the organisations that are tracked.
	maxAccounts = 4096
)

// Request is a request that is to be charged.
type Request struct {
	Organisation string
	Quota        matcher.Quota
	// Units is what the request counts.
	Units float64
	// PatientUntil is until when the request may wait for a quota that is used up, and
	// UsefulUntil until when it may wait for an answer of the leader.
	PatientUntil time.Time
	UsefulUntil  time.Time
}

// Ticket is a request that waits for units.
type Ticket struct {
	request Request
	// asked is true while a question for the request is in flight.
	asked bool
	// withdrawn is true if nobody waits for the decision any more.
	withdrawn bool
	decided   chan Decision
}

// Decision is the answer to a request. Err is a *QuotaError or *UnavailableError; without
// one the request may be sent from DueAt on.
type Decision struct {
	Err   error
	DueAt time.Time
	// ExpiresAt is until when the units may be used by another request if this one was not
	// run.
	ExpiresAt time.Time
}

// units are units in stock.
type units struct {
	count     float64
	expiresAt time.Time
}

// account is an entry's part of one organisation's quota.
type account struct {
	// stock is in order of expiry.
	stock   []units
	waiting []*Ticket
	// retryAt is when to ask again after fewer units were granted than wanted.
	retryAt time.Time
	// requests and amount count past requests and their units, as of countedAt.
	requests  float64
	amount    float64
	countedAt time.Time
}

// Ledger is the deterministic core of a charger: the units that an entry holds, and the
// requests that wait for more. It must be used by one goroutine at a time. All times are
// those of one clock, which advances during suspensions.
type Ledger struct{ accounts map[string]*account }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}} }

// Charge covers a request from the stock, refuses it, or lets it wait. The decision is sent
// to the ticket.
func (l *Ledger) Charge(now time.Time, request Request) *Ticket {
	t := &Ticket{request: request, decided: make(chan Decision, 1)}
	current := l.account(now, request.Organisation)
	current.count(now, request.Units)
	if expiresAt, covered := current.take(now, request.Units); covered {
		t.decide(Decision{DueAt: now, ExpiresAt: expiresAt})
		return t
	}
	if current.retryAt.After(request.PatientUntil) {
		t.refuse(current.retryAt)
		return t
	}
	current.waiting = append(current.waiting, t)
	return t
}

func (l *Ledger) account(now time.Time, organisation string) *account {
	current := l.accounts[organisation]
	if current == nil {
		if len(l.accounts) >= maxAccounts {
			l.prune(now)
		}
		current = &account{countedAt: now}
		l.accounts[organisation] = current
	}
	return current
}

// prune drops accounts without stock and waiting requests.
func (l *Ledger) prune(now time.Time) {
	for name, current := range l.accounts {
		current.expire(now)
		if len(current.stock) == 0 && len(current.waiting) == 0 {
			delete(l.accounts, name)
		}
	}
}

// Wants returns what to ask the leader for, and marks it as asked. It returns nothing
// unless a request waits: spare units are asked for along with others.
func (l *Ledger) Wants(now time.Time) []accountant.Want {
	var wants []accountant.Want
	urgent := false
	for name, current := range l.accounts {
		want := accountant.Want{Organisation: name}
		if !current.retryAt.After(now) {
			want.Costs = current.ask()
			want.Spare = current.spare(now)
		}
		urgent = urgent || len(want.Costs) > 0
		if len(want.Costs) > 0 || want.Spare > 0 {
			wants = append(wants, want)
		}
	}
	if !urgent {
		return nil
	}
	return wants
}

// Grant records the answers to a question.
func (l *Ledger) Grant(now time.Time, grants []accountant.Grant) {
	for _, grant := range grants {
		if current := l.accounts[grant.Organisation]; current != nil {
			current.grant(now, grant)
		}
	}
}

// Fail records that a question was not answered, so that it is asked again.
func (l *Ledger) Fail() {
	for _, current := range l.accounts {
		for _, t := range current.waiting {
			t.asked = false
		}
		current.dropWithdrawn()
	}
}

// Return puts the units of a request that was not run back into the stock.
func (l *Ledger) Return(now time.Time, request Request, expiresAt time.Time) {
	if now.Before(expiresAt) {
		l.account(now, request.Organisation).add(request.Units, expiresAt)
	}
}

// Withdraw forgets a ticket for whose decision nobody waits any more.
func (l *Ledger) Withdraw(t *Ticket) {
	t.withdrawn = true
	if current := l.accounts[t.request.Organisation]; current != nil {
		current.dropWithdrawn()
	}
}

// Next returns when Wants may have something to ask, and false if no request waits.
func (l *Ledger) Next(now time.Time) (next time.Time, waiting bool) {
	for _, current := range l.accounts {
		if len(current.waiting) == 0 || current.waiting[0].asked {
			continue
		}
		due := current.retryAt
		if due.Before(now) {
			due = now
		}
		if !waiting || due.Before(next) {
			next, waiting = due, true
		}
	}
	return next, waiting
}

// Stop refuses all waiting requests.
func (l *Ledger) Stop(now time.Time) {
	for _, current := range l.accounts {
		for _, t := range current.waiting {
			t.decide(Decision{Err: &UnavailableError{RetryAt: now}})
		}
		current.waiting = nil
	}
}

func (t *Ticket) decide(decision Decision) { t.decided <- decision }

func (t *Ticket) refuse(retryAt time.Time) {
	t.decide(Decision{Err: &QuotaError{Organisation: t.request.Organisation, Units: t.request.Units, RetryAt: retryAt}})
}

// ask marks the first waiting requests as asked and returns their costs. Nothing is asked
// while a question is in flight.
func (c *account) ask() []float64 {
	var costs []float64
	for _, t := range c.waiting[:min(len(c.waiting), maxAsked)] {
		if t.asked {
			return nil
		}
		costs = append(costs, t.request.Units)
	}
	for _, t := range c.waiting[:len(costs)] {
		t.asked = true
	}
	return costs
}

// grant decides the requests that a grant covers, in order. The others are refused if the
// time to ask again is too late for them.
func (c *account) grant(now time.Time, grant accountant.Grant) {
	covered := grant.Covered
	kept := c.waiting[:0]
	for _, t := range c.waiting {
		switch {
		case t.asked && covered > 0:
			covered--
			if t.withdrawn {
				c.add(t.request.Units, grant.ExpiresAt)
				continue
			}
			t.decide(Decision{DueAt: grant.DueAt, ExpiresAt: grant.ExpiresAt})
		case t.withdrawn:
		case grant.RetryAt.After(t.request.PatientUntil):
			t.refuse(grant.RetryAt)
		default:
			t.asked = false
			kept = append(kept, t)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	c.retryAt = grant.RetryAt
	if grant.Spare > 0 {
		c.add(grant.Spare, grant.ExpiresAt)
	}
	c.expire(now)
}

// dropWithdrawn drops withdrawn requests that are in no question. Those in one stay, since a
// grant covers requests by their order.
func (c *account) dropWithdrawn() {
	c.waiting = slices.DeleteFunc(c.waiting, func(t *Ticket) bool { return t.withdrawn && !t.asked })
}

// add puts units into the stock.
func (c *account) add(count float64, expiresAt time.Time) {
	at, _ := slices.BinarySearchFunc(c.stock, expiresAt, func(u units, at time.Time) int { return u.expiresAt.Compare(at) })
	c.stock = slices.Insert(c.stock, at, units{count: count, expiresAt: expiresAt})
}

func (c *account) expire(now time.Time) {
	c.stock = slices.DeleteFunc(c.stock, func(u units) bool { return !now.Before(u.expiresAt) || u.count <= 0 })
}

// held returns the number of units in stock.
func (c *account) held(now time.Time) float64 {
	c.expire(now)
	sum := 0.0
	for _, u := range c.stock {
		sum += u.count
	}
	return sum
}

// take takes units from the stock, those that expire first before others. It returns when
// the first of them expires, and false if there are too few.
func (c *account) take(now time.Time, count float64) (expiresAt time.Time, covered bool) {
	if c.held(now) < count {
		return time.Time{}, false
	}
	if count <= 0 {
		return now, true
	}
	expiresAt = c.stock[0].expiresAt
	for i := range c.stock {
		taken := min(count, c.stock[i].count)
		c.stock[i].count -= taken
		count -= taken
	}
	c.expire(now)
	return expiresAt, true
}

// count counts a request.
func (c *account) count(now time.Time, units float64) {
	c.decay(now)
	c.requests++
	c.amount += units
}

func (c *account) decay(now time.Time) {
	if elapsed := now.Sub(c.countedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
		c.requests *= factor
		c.amount *= factor
		c.countedAt = now
	}
}

// spare returns how many units to ask for beyond those of waiting requests.
func (c *account) spare(now time.Time) float64 {
	c.decay(now)
	share := stockTime.Seconds() / rateTime.Seconds()
	if c.requests*share < minStockRequests {
		return 0
	}
	return max(0, c.amount*share-c.held(now))
}
