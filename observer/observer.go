// Package observer takes in what upstreams say of themselves beside their
// answers: that they leave, want no requests for a time or limit them. It brings
// that to those who decide by it, logs each change once and counts the upstreams
// concerned.
package observer

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"burdocklink/router"
)

// source names in log lines what told of a change.
const source = "answer"

// warnInterval is the time between two warnings of texts that can't be read: an
// upstream that writes them wrongly does so in each answer.
const warnInterval = 10 * time.Second

// maxLoggedBytes is how many bytes of a text that can't be read are logged: a date is
// shorter.
const maxLoggedBytes = 64

// Settings are what an observer needs.
type Settings struct {
	Router *router.Router
	// Wake is called when waiting requests have to be looked at again.
	Wake func()
	// Forget closes unused connections to an address.
	Forget func(address string)
	// Registry takes the counts.
	Registry metrics.Registry
	Log      *zap.Logger
}

// Observer is safe for many goroutines.
type Observer struct {
	settings Settings

	mutex sync.Mutex
	// nextWarning is when the next warning of a text that can't be read is due.
	nextWarning time.Time
}

// New returns an observer whose counts are in the registry.
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

// ObserveNotice takes in what came with an answer of the upstream of a choice.
// Unreadable is a pause that can't be read, empty where there is none.
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

// ObserveLimit takes in the limit that an answer of the upstream of a choice names,
// or that it names none. The request was sent at a time. A limit that can't be
// read changes nothing.
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

// Limit returns the limit of the upstream of a choice.
func (o *Observer) Limit(choice router.Choice) router.RateLimit {
	return o.settings.Router.Limit(choice)
}

// TakePermit says whether one more request may go to the upstream of a choice that
// has a limit of requests.
func (o *Observer) TakePermit(choice router.Choice) bool {
	return o.settings.Router.TakePermit(time.Now(), choice)
}

// Allows says whether a request may still go to the upstream of a choice.
func (o *Observer) Allows(choice router.Choice) bool {
	return o.settings.Router.Allows(time.Now(), choice)
}

// warn logs a text that can't be read, empty where there is none.
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
