package forwarder

import (
	"context"
	"time"

	"burdocklink/charger"
	"burdocklink/matcher"
	"burdocklink/timekeeper"
)

const (
	// keyMargin is subtracted from the lifetime of keys for what lies between the check of
	// a key and the start of the request.
	keyMargin = 50 * time.Millisecond
	// maxUnknownAge is how long ago the keys must have been confirmed for an unknown key to
	// be final. Later, the key may belong to a configuration that has not arrived.
	maxUnknownAge = 1500 * time.Millisecond
	// keyRetryDelay is when a caller may come back whose key can't be checked now.
	keyRetryDelay = time.Second
)

// confirmKeys stores until when the keys of a table may be used that is read afterwards.
func (x *exchange) confirmKeys() {
	if x.KeysConfirmedAt == nil {
		return
	}
	x.keysConfirmedAt = x.KeysConfirmedAt()
}

// authorise finds the organisation that the caller's key belongs to.
func (x *exchange) authorise() error {
	if len(x.table.Configuration.Organisations) == 0 {
		return nil
	}
	x.hidesKey = true
	owner := x.table.Owner(x.request.Key)
	switch {
	case owner == nil && x.route.Anonymous:
		return nil
	case owner == nil && x.keysOlderThan(maxUnknownAge):
		return &UnconfirmedKeyError{RetryAt: time.Now().Add(keyRetryDelay)}
	case owner == nil:
		return &UnknownKeyError{}
	case x.KeyLifetime > 0 && x.keysOlderThan(x.KeyLifetime-keyMargin):
		return &UnconfirmedKeyError{RetryAt: time.Now().Add(keyRetryDelay)}
	}
	x.organisation = owner
	return nil
}

// readyFraction is the fraction of the lifetime of keys for which an entry accepts new
// connections without a confirmation. The load balancer needs two seconds to notice.
const readyFraction = 0.6

// keysUsable returns an error if this entry will soon have to refuse requests with keys,
// because it doesn't hear which ones are in force.
func (f *Forwarder) keysUsable() error {
	if f.KeysConfirmedAt == nil || f.KeyLifetime <= 0 || len(f.Table().Configuration.Organisations) == 0 {
		return nil
	}
	limit := time.Duration(readyFraction * float64(f.KeyLifetime))
	if timekeeper.Now().Sub(f.KeysConfirmedAt()) > limit {
		return &UnconfirmedKeyError{}
	}
	return nil
}

// keysOlderThan reports whether the keys were confirmed longer ago than an age.
func (x *exchange) keysOlderThan(age time.Duration) bool {
	return x.KeysConfirmedAt != nil && timekeeper.Now().Sub(x.keysConfirmedAt) > age
}

// checkRevocation looks the caller's key up again in the newest table, since it may have
// been revoked while the request waited.
func (x *exchange) checkRevocation() error {
	if x.organisation == nil {
		return nil
	}
	if owner := x.Table().Owner(x.request.Key); owner == nil || owner.Name != x.organisation.Name {
		return &UnknownKeyError{}
	}
	return nil
}

// rank returns the urgency of the request; 0 is the most urgent.
func (x *exchange) rank() int {
	if x.organisation != nil && x.organisation.Ranked {
		return x.organisation.Rank
	}
	return x.route.Rank
}

// subscriber returns the name by which the caller's use is counted.
func (x *exchange) subscriber() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// weight returns the part of the room that the caller's organisation is entitled to,
// relative to others: its quota. It is zero without one.
func (x *exchange) weight() float64 {
	if x.organisation == nil {
		return 0
	}
	return x.organisation.Quota.PerSecond
}

// quotaPatience is how long a request waits for a quota that is used up. While callers ask
// for more than the quota, a longer wait only delays the answers that there are.
const quotaPatience = 50 * time.Millisecond

// chargeQuota waits until the quota of the caller's organisation covers the request.
func (x *exchange) chargeQuota(ctx context.Context) error {
	if x.Quotas == nil || x.organisation == nil || !x.organisation.Quota.Limited() {
		return nil
	}
	request := charger.Request{
		Organisation: x.organisation.Name,
		Quota:        x.organisation.Quota,
		Units:        cost(x.organisation.Quota, &x.request),
		PatientUntil: x.arrived.Add(quotaPatience),
		UsefulUntil:  x.usefulUntil(),
	}
	charge, err := x.Quotas.Charge(ctx, request)
	if err != nil {
		return err
	}
	x.charge = charge
	return nil
}

func cost(quota matcher.Quota, request *Request) float64 {
	return quota.Cost(request.PromptTokens+request.AnswerTokens, request.TokensStated)
}

// returnCharge returns the units of a request that no upstream has run.
func (x *exchange) returnCharge() {
	if x.charge != nil && x.attempts.runs == 0 {
		x.charge.Return()
	}
}

// UnknownKeyError is returned if a request carries no key of an organisation.
type UnknownKeyError struct{}

// Error implements error.
func (e *UnknownKeyError) Error() string { return "the key belongs to no organisation" }

// UnconfirmedKeyError is returned if it is not known which keys are in force.
type UnconfirmedKeyError struct {
	// RetryAt is the earliest useful time for a retry.
	RetryAt time.Time
}

// Error implements error.
func (e *UnconfirmedKeyError) Error() string { return "the keys in force are not confirmed" }
