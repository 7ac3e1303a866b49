// Package observer takes in what upstreams say of themselves beside their
// answers: that they leave, or want no requests for a time. It brings that to
// those who decide by it, logs each change once and counts the upstreams
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

// warnTime is the time between two warnings of pauses that can't be read: an
// upstream that writes them wrongly does so in each refusal.
const warnTime = 10 * time.Second

// mostText is how many bytes of a pause that can't be read are logged: a date is
// shorter.
const mostText = 64

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
	// warnAt is when the next warning of a pause that can't be read is due.
	warnAt time.Time
}

// New returns an observer whose counts are in the registry.
func New(settings Settings) *Observer {
	o := &Observer{settings: settings}
	for name, read := range map[string]func(router.Counts) int{
		"upstreams-leaving-listed":   func(c router.Counts) int { return c.LeavingListed },
		"upstreams-leaving-reported": func(c router.Counts) int { return c.LeavingReported },
		"upstreams-leaving-answered": func(c router.Counts) int { return c.LeavingAnswered },
		"upstreams-paused-answered":  func(c router.Counts) int { return c.PausedAnswered },
	} {
		metrics.NewRegisteredFunctionalGauge(name, settings.Registry, func() int64 {
			return int64(read(settings.Router.Counts(time.Now())))
		})
	}
	return o
}

// Heed takes in what came with an answer of the upstream of a choice.
// Unreadable is a pause that can't be read, empty where there is none.
func (o *Observer) Heed(choice router.Choice, notice router.Notice, unreadable string) {
	now := time.Now()
	if unreadable != "" && o.mayWarn(now) {
		o.settings.Log.Warn("pause not readable", zap.String("upstream", choice.Upstream),
			zap.String("incarnation", choice.Incarnation), zap.String("text", unreadable[:min(len(unreadable), mostText)]))
	}
	if notice == (router.Notice{}) {
		return
	}
	change := o.settings.Router.Heed(now, choice, notice)
	if change.Leaves {
		o.settings.Forget(choice.Address)
		o.settings.Log.Info("upstream leaves", zap.String("upstream", choice.Upstream),
			zap.String("incarnation", choice.Incarnation), zap.String("source", source))
	}
	if change.Pauses {
		o.settings.Log.Info("upstream pauses", zap.String("upstream", choice.Upstream),
			zap.String("incarnation", choice.Incarnation), zap.Time("until", change.Until),
			zap.String("source", source))
	}
	if change.Leaves || change.Pauses {
		o.settings.Wake()
	}
}

// Allows says whether a request may still go to the upstream of a choice.
func (o *Observer) Allows(choice router.Choice) bool {
	return o.settings.Router.Allows(time.Now(), choice)
}

func (o *Observer) mayWarn(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if now.Before(o.warnAt) {
		return false
	}
	o.warnAt = now.Add(warnTime)
	return true
}
