package forwarder_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/admitter"
	"burdocklink/charger"
	"burdocklink/forwarder"
	"burdocklink/matcher"
	"burdocklink/timekeeper"
	"burdocklink/verifier"
)

// quotas covers requests unless err is set, and counts the charges that are not returned.
type quotas struct {
	err     error
	last    charger.Request
	charged atomic.Int32
}

func (q *quotas) Charge(_ context.Context, request charger.Request) (*charger.Charge, error) {
	q.last = request
	if q.err != nil {
		return nil, q.err
	}
	q.charged.Add(1)
	return charger.NewCharge(func() { q.charged.Add(-1) }), nil
}

// withOrganisations changes the routes of a rig so that requests need a key.
func (r *rig) withOrganisations(organisations ...matcher.Organisation) {
	configuration := *r.table.Load().Configuration
	configuration.Version++
	configuration.Organisations = organisations
	r.table.Store(matcher.NewTable(&configuration))
}

func organisation(name string, keys ...string) matcher.Organisation {
	organisation := matcher.Organisation{
		Name: name, Quota: matcher.Quota{PerSecond: 100, Burst: 100, Unit: matcher.Tokens, PlainTokens: 7},
	}
	for _, key := range keys {
		organisation.Keys = append(organisation.Keys, verifier.Sum(key))
	}
	return organisation
}

// newKeyRig returns a rig with the organisation acme. Its keys were confirmed at the age
// ago.
func newKeyRig(t *testing.T, route matcher.Route, age time.Duration, handlers ...http.HandlerFunc) (*rig, *quotas) {
	t.Helper()
	r := newRig(t, route, handlers...)
	charges := &quotas{}
	r.forwarder.Quotas = charges
	r.forwarder.KeyLifetime = 5 * time.Second
	r.forwarder.KeysConfirmedAt = func() time.Time { return timekeeper.Now().Add(-age) }
	r.withOrganisations(organisation("acme", "k1", "k2"))
	return r, charges
}

func (r *rig) askWithKey(key string) reply {
	return r.ask(http.MethodGet, "/x/1", "", map[string]string{"Id": "r1", "Key": key})
}

// Guards against requests that run without a key, with one that was revoked long ago, or
// that are refused for good although their key may be newer than what this entry knows.
func TestKeysAreCheckedWithTheirAge(t *testing.T) {
	cases := map[string]struct {
		key       string
		age       time.Duration
		anonymous bool
		want      int
		named     string
	}{
		"key":                            {key: "k2", want: http.StatusOK, named: "acme"},
		"key, confirmed 4 s ago":         {key: "k2", age: 4 * time.Second, want: http.StatusOK, named: "acme"},
		"key, confirmed 6 s ago":         {key: "k2", age: 6 * time.Second, want: http.StatusServiceUnavailable},
		"unknown key":                    {key: "k3", want: http.StatusUnauthorized},
		"no key":                         {want: http.StatusUnauthorized},
		"unknown key, confirmed 2 s ago": {key: "k3", age: 2 * time.Second, want: http.StatusServiceUnavailable},
		"anonymous":                      {anonymous: true, age: 6 * time.Second, want: http.StatusOK},
		"anonymous, unknown key":         {key: "k3", anonymous: true, want: http.StatusOK},
		"anonymous, known key":           {key: "k1", anonymous: true, want: http.StatusOK, named: "acme"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var named string
			handle := func(w http.ResponseWriter, r *http.Request) {
				named = r.Header.Get("Organisation")
				respond(http.StatusOK, "")(w, r)
			}
			r, _ := newKeyRig(t, matcher.Route{Kind: matcher.Idempotent, Anonymous: c.anonymous}, c.age, handle)
			got := r.askWithKey(c.key)
			assert.Equal(t, got.status, c.want)
			assert.Equal(t, named, c.named)
			if c.want != http.StatusOK {
				assert.Equal(t, r.runs.Load(), int32(0))
			}
			if c.want == http.StatusServiceUnavailable {
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		})
	}
}

// Guards against an entry that refuses keys for good before it has a configuration.
func TestAnEntryWithoutAConfigurationRefusesNoKeyForGood(t *testing.T) {
	r, _ := newKeyRig(t, matcher.Route{Kind: matcher.Idempotent}, 0, respond(http.StatusOK, ""))
	r.table.Store(nil)
	got := r.ask(http.MethodGet, "/x/1", "", map[string]string{"Id": "r1", "Key": "k3", "Wait": "100ms"})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
}

// Guards against a request that waited for an upstream and starts after its key was revoked.
func TestAKeyThatIsRevokedWhileItsRequestWaitsIsRefused(t *testing.T) {
	r, charges := newKeyRig(t, matcher.Route{Kind: matcher.Idempotent}, 0, respond(http.StatusOK, ""))
	r.forwarder.Admitter = revokingAdmission{admission: r.admission, revoke: func() { r.withOrganisations(organisation("acme")) }}
	assert.Equal(t, r.askWithKey("k1").status, http.StatusUnauthorized)
	assert.Equal(t, r.runs.Load(), int32(0))
	assert.Equal(t, charges.charged.Load(), int32(0))
}

// revokingAdmission revokes keys while a request waits.
type revokingAdmission struct {
	*admission
	revoke func()
}

func (a revokingAdmission) Acquire(ctx context.Context, request admitter.Request) (*admitter.Grant, error) {
	a.revoke()
	return a.admission.Acquire(ctx, request)
}

// Guards against an organisation with all keys gone whose callers are still served, and
// against an organisation's rank that loses against the route's.
func TestOrganisationsFollowTheConfiguration(t *testing.T) {
	r, _ := newKeyRig(t, matcher.Route{Kind: matcher.Idempotent, Rank: 3}, 0, respond(http.StatusOK, ""))
	ranked := organisation("acme", "k1")
	ranked.Ranked, ranked.Rank = true, 1
	r.withOrganisations(ranked)
	assert.Equal(t, r.askWithKey("k1").status, http.StatusOK)
	assert.Equal(t, r.admission.last.Rank, 1)
	assert.Equal(t, r.admission.last.Subscriber, "acme")
	r.withOrganisations(organisation("acme"))
	assert.Equal(t, r.askWithKey("k1").status, http.StatusUnauthorized)
}

// Guards against requests beyond a quota that run, or get an answer which ends their retries.
func TestRequestsBeyondTheQuotaGet429(t *testing.T) {
	r, charges := newKeyRig(t, matcher.Route{Kind: matcher.Idempotent, Target: time.Second}, 0, respond(http.StatusOK, ""))
	charges.err = &charger.QuotaError{Organisation: "acme", RetryAt: time.Now().Add(700 * time.Millisecond)}
	got := r.askWithKey("k1")
	assert.Equal(t, got.status, http.StatusTooManyRequests)
	assert.Assert(t, got.header.Get("Retry-After") > "0.5" && got.header.Get("Retry-After") <= "0.700", got.header.Get("Retry-After"))
	assert.Equal(t, charges.last.Units, 7.0)
	charges.err = &charger.UnavailableError{RetryAt: time.Now().Add(time.Second)}
	assert.Equal(t, r.askWithKey("k1").status, http.StatusServiceUnavailable)
	assert.Equal(t, r.runs.Load(), int32(0))
}

// Guards against requests that use a quota without having run, and against ones that run and
// don't.
func TestUnitsOfRequestsThatWereNotRunAreReturned(t *testing.T) {
	cases := map[string]struct {
		handle http.HandlerFunc
		want   int32
	}{
		"run":     {respond(http.StatusOK, ""), 1},
		"failed":  {respond(http.StatusInternalServerError, ""), 1},
		"not run": {notRun, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, charges := newKeyRig(t, matcher.Route{Kind: matcher.NonIdempotent}, 0, c.handle)
			r.askWithKey("k1")
			assert.Equal(t, charges.charged.Load(), c.want)
		})
	}
}

// Guards against an entry that is sent callers while it can't tell which keys are in force.
func TestAnEntryWithoutConfirmedKeysIsNotReady(t *testing.T) {
	r, _ := newKeyRig(t, matcher.Route{Kind: matcher.Idempotent}, 0, respond(http.StatusOK, ""))
	assert.NilError(t, r.forwarder.Accepting())
	r.forwarder.KeysConfirmedAt = func() time.Time { return timekeeper.Now().Add(-4 * time.Second) }
	assert.ErrorType(t, r.forwarder.Accepting(), &forwarder.UnconfirmedKeyError{})
	r.withOrganisations()
	assert.NilError(t, r.forwarder.Accepting())
}
