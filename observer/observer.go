// Package observer handles the notices and rate limits in upstreams' responses: that
// an upstream is leaving, asks for a pause or limits its requests. It passes them to
// the router, logs each change once and counts the affected upstreams.
package observer

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/router"
)

// source is the source of a change in log lines.
const source = "answer"

// warnInterval is the minimum time between two warnings about unreadable header
// values: a faulty upstream sends one with each response.
const warnInterval = 10 * time.Second

// maxLoggedBytes is the maximum length of a logged header value in bytes. A date is
// shorter.
const maxLoggedBytes = 64

// Settings are the settings of an observer.
type Settings struct {
	Router *router.Router
	// Wake is called when waiting requests must be reconsidered.
	Wake func()
	// Forget closes idle connections to an address.
	Forget func(address string)
	// Registry receives the gauges.
	Registry metrics.Registry
	Log      *zap.Logger
}

// Observer is safe for concurrent use.
type Observer struct {
	settings Settings

	mutex sync.Mutex
	// nextWarning is the earliest time of the next warning.
	nextWarning time.Time
}

// New returns an observer and registers its gauges.
func New(settings Settings) *Observer {
	o := &Observer{settings: settings}
	for name, read := range map[string]func(router.Counts) int{
		"upstreams-leaving-listed":   func(c router.Counts) int { return c.LeavingListed },
		"upstreams-leaving-reported": func(c router.Counts) int { return c.LeavingReported },
		"upstreams-leaving-answered": func(c router.Counts) int { return c.LeavingAnswered },
		"upstreams-paused-answered":  func(c router.Counts) int { return c.PausedAnswered },
		"upstreams-limited":          func(c router.Counts) int { return c.Limited },
	} {
		metrics.NewRegisteredFunctionalGauge(name, settings.Registry, func() int64 {
			return int64(read(settings.Router.Counts(time.Now())))
		})
	}
	return o
}

// ObserveNotice handles the notice in a response of the chosen upstream. Unreadable
// is the value of an unreadable pause, or empty.
func (o *Observer) ObserveNotice(choice router.Choice, notice router.Notice, unreadable string) {
	now := time.Now()
	o.warn(now, "pause not readable", choice, unreadable)
	if notice == (router.Notice{}) {
		return
	}
	change := o.settings.Router.ObserveNotice(now, choice, notice)
	if change.Leaving {
		o.settings.Forget(choice.Address)
		o.settings.Log.Info("upstream leaves", zap.String("upstream", choice.Upstream),
			zap.String("incarnation", choice.Incarnation), zap.String("source", source))
	}
	if change.PauseChanged {
		o.settings.Log.Info("upstream pauses", zap.String("upstream", choice.Upstream),
			zap.String("incarnation", choice.Incarnation), zap.Time("until", change.PausedUntil),
			zap.String("source", source))
	}
	if change.Leaving || change.PauseChanged {
		o.settings.Wake()
	}
}

// ObserveLimit handles the rate limit, or the lack of one, in the response of the
// chosen upstream to a request sent at sentAt. Unreadable is the value of an
// unreadable limit, which changes nothing, or empty.
func (o *Observer) ObserveLimit(choice router.Choice, sentAt time.Time, limit router.RateLimit, unreadable string) {
	now := time.Now()
	if unreadable != "" {
		o.warn(now, "limit not readable", choice, unreadable)
		return
	}
	change := o.settings.Router.ObserveLimit(now, choice, sentAt, limit)
	if !change.Changed {
		return
	}
	o.settings.Log.Info("upstream changes its limit", zap.String("upstream", choice.Upstream),
		zap.String("incarnation", choice.Incarnation), zap.Bool("limited", limit.Announced),
		zap.Float64("per-second", limit.PerSecond), zap.Float64("before", change.Previous.PerSecond),
		zap.String("source", source))
	o.settings.Wake()
}

// Limit returns the rate limit of the chosen upstream.
func (o *Observer) Limit(choice router.Choice) router.RateLimit {
	return o.settings.Router.Limit(choice)
}

// TakePermit takes a permit for one more request to the chosen, rate-limited upstream
// and reports whether there was one.
func (o *Observer) TakePermit(choice router.Choice) bool {
	return o.settings.Router.TakePermit(time.Now(), choice)
}

// Allows reports whether a request may still be sent to the chosen upstream.
func (o *Observer) Allows(choice router.Choice) bool {
	return o.settings.Router.Allows(time.Now(), choice)
}

// Leaving reports whether the chosen upstream may stop at any time, because it is leaving.
func (o *Observer) Leaving(choice router.Choice) bool { return o.settings.Router.Leaving(choice) }

// warn logs an unreadable header value, unless it is empty or the last warning is too
// recent.
func (o *Observer) warn(now time.Time, message string, choice router.Choice, text string) {
	if text == "" || !o.allowWarning(now) {
		return
	}
	o.settings.Log.Warn(message, zap.String("upstream", choice.Upstream),
		zap.String("incarnation", choice.Incarnation), zap.String("text", text[:min(len(text), maxLoggedBytes)]))
}

func (o *Observer) allowWarning(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Before(o.nextWarning) {
		return false
	}
	o.nextWarning = now.Add(warnInterval)
	return true
}
