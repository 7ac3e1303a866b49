// Package accountant grants the units of organisations' quotas to entries. It runs on the
// leader of the control group, since a quota covers all entries together and each of them
// sees only a part of the requests. While there is no leader, nothing is granted.
package accountant

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/limiter"
	"burdocklink/matcher"
)

const (
	// maxChargeCallsPerSecond bounds the calls of Charge by all entries together. A call
	// takes a leader about 100 µs.
	maxChargeCallsPerSecond = 1000
	// minPause is the shortest pause between two calls by an entry.
	minPause = 5 * time.Millisecond
	// horizon is how far ahead a request may be due. Where an organisation is beyond its
	// quota, a longer one makes each of its requests wait and lets no more through.
	horizon = 20 * time.Millisecond
	// minLifetime and maxLifetime bound how long a grant may be used.
	minLifetime = 200 * time.Millisecond
	maxLifetime = 2 * time.Second
	// lifetimeFraction is the part of the allowed excess that grants may use which are
	// older than the window, and initialFraction the part that a new leader's buckets start
	// with: the leader may change twice in a window.
	lifetimeFraction = 0.5
	initialFraction  = 0.2
	// unknownPause is the time until an entry asks again for an organisation that is not
	// known yet.
	unknownPause = 50 * time.Millisecond
	// maxReturnTime bounds how far ahead requests beyond the quota are told to come back.
	maxReturnTime = 2 * time.Second
	// maxMeasured is the number of organisations with metrics of their own.
	maxMeasured = 128
)

// Want is what an entry asks for one organisation.
type Want struct {
	Organisation string
	// Costs are the units of the requests that wait, in order.
	Costs []float64
	// Spare is the number of units wanted beyond these, for requests to come.
	Spare float64
}

// Grant is the answer to a Want.
type Grant struct {
	Organisation string
	// Covered is the number of requests, in the order of the costs, that may be sent from
	// DueAt until ExpiresAt, and Spare the number of units beyond these.
	Covered int
	Spare   float64
	DueAt   time.Time
	// ExpiresAt ends both.
	ExpiresAt time.Time
	// RetryAt is when to ask again for the requests that are not covered; zero if all are.
	RetryAt time.Time
}

// Settings configure an Accountant.
type Settings struct {
	// Leadership returns the current term and whether this member leads in it.
	Leadership func() (term uint64, leading bool)
	Bounds     matcher.QuotaBounds
	// Registry receives the counters.
	Registry metrics.Registry
	Log      *zap.Logger
}

// account is the state of one organisation's quota.
type account struct {
	quota  matcher.Quota
	rate   limiter.Rate
	bucket limiter.Bucket
	// lifetime is how long a grant may be used.
	lifetime time.Duration
	// returnAt is when the requests refused so far will have come back.
	returnAt time.Time

	granted metrics.Counter
	denied  metrics.Counter
}

// Accountant is safe for concurrent use.
type Accountant struct {
	settings Settings

	mutex sync.Mutex
	// term is the term of the accounts, and configuredTerm the last one in which a
	// configuration was applied.
	term           uint64
	configuredTerm uint64
	accounts       map[string]*account
	pace           *limiter.Pace
	// organisations are those of the newest configuration.
	organisations []matcher.Organisation
	measured      map[string]bool
}

// New returns an accountant without organisations.
func New(settings Settings) *Accountant {
	return &Accountant{
		settings: settings,
		accounts: map[string]*account{},
		pace:     limiter.NewPace(maxChargeCallsPerSecond, minPause),
		measured: map[string]bool{},
	}
}

// Configure applies the quotas of a configuration.
func (a *Accountant) Configure(now time.Time, configuration *matcher.Configuration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.organisations = configuration.Organisations
	if !a.ensureLeading(now) {
		return
	}
	a.update(now, a.configuredTerm == a.term)
	a.configuredTerm = a.term
}

// update brings the accounts in line with the organisations. Added ones are new to the
// system if an earlier configuration was applied in this term; these start with their
// burst. The mutex must be held.
func (a *Accountant) update(now time.Time, addedAreNew bool) {
	kept := make(map[string]*account, len(a.organisations))
	for i := range a.organisations {
		organisation := &a.organisations[i]
		if !organisation.Quota.Limited() {
			continue
		}
		current := a.accounts[organisation.Name]
		if current == nil {
			saved := initialFraction * a.settings.Bounds.Excess(organisation.Quota)
			if addedAreNew {
				saved = organisation.Quota.Burst
			}
			current = a.open(organisation.Name)
			current.limit(organisation.Quota, a.settings.Bounds)
			current.bucket = limiter.NewBucket(now, current.rate, saved)
		}
		if current.quota != organisation.Quota {
			a.settings.Log.Info("quota changed", zap.String("organisation", organisation.Name),
				zap.Float64("per-second", organisation.Quota.PerSecond), zap.Float64("before", current.quota.PerSecond),
				zap.Float64("burst", organisation.Quota.Burst))
			current.limit(organisation.Quota, a.settings.Bounds)
		}
		kept[organisation.Name] = current
	}
	a.accounts = kept
}

// open returns an account without a quota.
func (a *Accountant) open(organisation string) *account {
	if len(a.measured) < maxMeasured {
		a.measured[organisation] = true
	}
	label := ""
	if a.measured[organisation] {
		label = "-" + organisation
	}
	return &account{
		granted: metrics.GetOrRegisterCounter("quota-units-granted"+label, a.settings.Registry),
		denied:  metrics.GetOrRegisterCounter("quota-requests-denied"+label, a.settings.Registry),
	}
}

// limit sets the quota, and from the allowed excess the rate and the lifetime of grants.
// Use in a window may come from grants that are a lifetime older, so that a long lifetime
// needs excess or a lower rate.
func (c *account) limit(quota matcher.Quota, bounds matcher.QuotaBounds) {
	c.quota = quota
	c.rate = limiter.Rate{PerSecond: quota.PerSecond, Burst: quota.Burst}
	available := lifetimeFraction * bounds.Excess(quota)
	lifetime := time.Duration(min(available/quota.PerSecond, maxLifetime.Seconds()+horizon.Seconds())*float64(time.Second)) - horizon
	c.lifetime = max(minLifetime, lifetime)
	if window := bounds.Window.Seconds(); window > 0 && lifetime < minLifetime {
		c.rate.PerSecond = (quota.PerSecond*window + available) / (window + (c.lifetime + horizon).Seconds())
	}
}

// ensureLeading reports whether this member leads, and opens new accounts at the start of a
// term: the previous leader's grants are not known. The mutex must be held.
func (a *Accountant) ensureLeading(now time.Time) bool {
	term, leading := a.settings.Leadership()
	if leading && term != a.term {
		a.term = term
		a.accounts = map[string]*account{}
		a.update(now, false)
		a.settings.Log.Info("granting quotas as leader", zap.Uint64("term", term), zap.Int("organisations", len(a.accounts)))
	}
	return leading
}

// Charge grants what an entry wants, as far as the quotas allow. The entry must not call
// again before the pause has passed. Leading is false if this member grants nothing.
func (a *Accountant) Charge(now time.Time, entry string, wants []Want) (grants []Grant, pause time.Duration, leading bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.ensureLeading(now) {
		return nil, 0, false
	}
	for _, want := range wants {
		grants = append(grants, a.grant(now, want))
	}
	return grants, a.pace.Pause(now, entry), true
}

// grant answers one want. The mutex must be held.
func (a *Accountant) grant(now time.Time, want Want) Grant {
	grant := Grant{Organisation: want.Organisation}
	current := a.accounts[want.Organisation]
	if current == nil {
		return a.grantUnlimited(now, want)
	}
	grant.DueAt, grant.ExpiresAt = now, now.Add(current.lifetime)
	units := 0.0
	for _, cost := range want.Costs {
		due, taken := current.bucket.Take(now, current.rate, cost, horizon)
		if !taken {
			grant.RetryAt = current.postpone(now, due, want.Costs[grant.Covered:])
			break
		}
		grant.DueAt = due
		grant.Covered++
		units += cost
	}
	if grant.RetryAt.IsZero() {
		grant.Spare = current.bucket.TakeSpare(now, current.rate, want.Spare)
	}
	current.granted.Inc(int64(units + grant.Spare))
	current.denied.Inc(int64(len(want.Costs) - grant.Covered))
	return grant
}

// grantUnlimited answers a want for an organisation without a quota. One that is not known
// belongs to a configuration that this member has not applied yet.
func (a *Accountant) grantUnlimited(now time.Time, want Want) Grant {
	for i := range a.organisations {
		if a.organisations[i].Name == want.Organisation {
			return Grant{
				Organisation: want.Organisation, Covered: len(want.Costs), Spare: want.Spare,
				DueAt: now, ExpiresAt: now.Add(minLifetime),
			}
		}
	}
	return Grant{Organisation: want.Organisation, DueAt: now, ExpiresAt: now, RetryAt: now.Add(unknownPause)}
}

// postpone returns when requests that are not covered may come back. Those of different
// entries come back one after another, as the quota can cover them.
func (c *account) postpone(now, earliest time.Time, costs []float64) time.Time {
	if c.returnAt.Before(earliest) {
		c.returnAt = earliest
	}
	at := c.returnAt
	total := 0.0
	for _, cost := range costs {
		total += cost
	}
	c.returnAt = at.Add(c.rate.TimeFor(total))
	if latest := now.Add(maxReturnTime); c.returnAt.After(latest) {
		c.returnAt = latest
	}
	return at
}
