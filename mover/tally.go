package mover

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// tallyInterval is the time between two log lines about the leader's work.
const tallyInterval = time.Second

// tally counts the leader's work since the last log line.
type tally struct {
	since     time.Time
	processor time.Duration
	events    int
	// maxQueued is the most events queued at once, longestGap the longest time
	// between two rounds.
	maxQueued  int
	roundAt    time.Time
	longestGap time.Duration
	plans      int
	planTime   time.Duration
	orders     int
	refused    int
	// wants are requests of entries: held were answered at once, served
	// after a wait, expired not in time, and dismissed on a lapsed lease.
	wants, held, served, expired, dismissed int
}

// round records the start of a round.
func (t *tally) round(now time.Time) {
	if !t.roundAt.IsZero() {
		t.longestGap = max(t.longestGap, now.Sub(t.roundAt))
	}
	t.roundAt = now
}

// due reports whether the next log line is due.
func (t *tally) due(now time.Time) bool { return now.Sub(t.since) >= tallyInterval }

// fields returns the fields of the log line.
func (t *tally) fields(now time.Time, processor time.Duration) []zap.Field {
	return []zap.Field{
		zap.Duration("over", now.Sub(t.since)), zap.Duration("processor", processor-t.processor),
		zap.Int("events", t.events), zap.Int("most-queued", t.maxQueued), zap.Duration("longest-gap", t.longestGap),
		zap.Int("plans", t.plans), zap.Duration("planning", t.planTime),
		zap.Int("orders", t.orders), zap.Int("orders-refused", t.refused),
		zap.Int("wants", t.wants), zap.Int("wants-held", t.held), zap.Int("wants-served", t.served),
		zap.Int("wants-expired", t.expired), zap.Int("wants-dismissed", t.dismissed),
	}
}

// Names of the leader's metrics. The histograms sample the longest gap and the
// planning time of each second, in milliseconds.
const (
	metricOrders    = "leader-orders"
	metricRefused   = "leader-orders-refused"
	metricHeld      = "leader-wants-held"
	metricServed    = "leader-wants-served"
	metricExpired   = "leader-wants-expired"
	metricDismissed = "leader-wants-dismissed"
	metricGap       = "leader-longest-gap-ms"
	metricPlanning  = "leader-planning-ms"
)

// sampleSize is the number of seconds in a histogram's sample.
const sampleSize = 300

// record adds the tally to the metrics.
func (t *tally) record(registry metrics.Registry) {
	counters := map[string]int{
		metricOrders: t.orders, metricRefused: t.refused, metricHeld: t.held,
		metricServed: t.served, metricExpired: t.expired, metricDismissed: t.dismissed,
	}
	for name, count := range counters {
		metrics.GetOrRegisterCounter(name, registry).Inc(int64(count))
	}
	samples := map[string]time.Duration{metricGap: t.longestGap, metricPlanning: t.planTime}
	for name, duration := range samples {
		metrics.GetOrRegisterHistogram(name, registry, metrics.NewUniformSample(sampleSize)).Update(duration.Milliseconds())
	}
}

// logTally logs and resets the tally when it is due.
func (m *Mover) logTally(now time.Time) {
	m.tally.round(now)
	if !m.tally.due(now) {
		return
	}
	processor := processorTime()
	if !m.tally.since.IsZero() {
		m.settings.Log.Info("leading", append(m.tally.fields(now, processor),
			append(m.stateFields(now), zap.Int("engines", len(m.engines)), zap.Int("waiters", len(m.waiters)))...)...)
	}
	m.tally.record(m.settings.Metrics)
	m.tally = tally{since: now, processor: processor, roundAt: now}
}

// stateFields counts the engines that take no orders about models, by the reason.
func (m *Mover) stateFields(now time.Time) []zap.Field {
	var absent, sending, loading, unloading, backoff, settling int
	for _, e := range m.engines {
		switch {
		case !e.reported || e.silent() || e.leaving():
			absent++
		case e.sending:
			sending++
		case e.busy && e.loading != "":
			loading++
		case e.busy:
			unloading++
		case now.Before(e.backoffUntil):
			backoff++
		case now.Before(e.modelOrdersFrom):
			settling++
		}
	}
	return []zap.Field{
		zap.Int("absent", absent), zap.Int("sending", sending), zap.Int("loading", loading),
		zap.Int("unloading", unloading), zap.Int("backoff", backoff), zap.Int("settling", settling),
	}
}

// processorTime returns the CPU time of the process; zero if the system does
// not provide it.
func processorTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
