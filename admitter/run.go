package admitter

import "time"

// run owns the queue until Stop.
func (a *Admitter) run() {
	defer close(a.stopped)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		a.resetTimer(timer)
		select {
		case <-a.stopping:
			a.queue.Stop()
			a.deliver()
			return
		case t := <-a.arrivals:
			a.queue.arrive(a.settings.Now(), t)
		case l := <-a.cancellations:
			a.queue.Withdraw(l.ticket, l.err)
		case reply := <-a.demandQueries:
			reply <- a.queue.Demand()
		case reserve := <-a.reserveUpdates:
			a.queue.retryBudgets.resize(reserve)
		case <-a.wakeups:
			a.drainCompletions()
			a.queue.Pump(a.settings.Now())
		case <-timer.C:
			a.queue.Pump(a.settings.Now())
		}
		a.deliver()
	}
}

// deliver hands the decisions to the waiting callers.
func (a *Admitter) deliver() {
	for _, d := range a.queue.Take() {
		if d.Grant != nil {
			d.Grant.admitter = a
		}
		d.Ticket.answer <- d
	}
}

// drainCompletions passes ended grants to the queue.
func (a *Admitter) drainCompletions() {
	a.completionsMutex.Lock()
	endings := a.completions
	a.completions = nil
	a.completionsMutex.Unlock()
	for _, e := range endings {
		a.queue.End(e.grant, e.result)
	}
}

// idleInterval is the time between two calls of Pump while nothing is due;
// minWakeDelay is the shortest one.
const (
	idleInterval = time.Hour
	minWakeDelay = time.Millisecond
)

func (a *Admitter) resetTimer(timer *time.Timer) {
	next := a.queue.Next()
	if next.IsZero() {
		timer.Reset(idleInterval)
		return
	}
	timer.Reset(max(minWakeDelay, next.Sub(a.settings.Now())))
}
