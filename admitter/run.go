package admitter

import "time"

// run owns the queue until Stop.
func (a *Admitter) run() {
	defer close(a.stopped)
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		a.arm(timer)
		select {
		case <-a.stopping:
			a.queue.Stop()
			a.answer()
			return
		case t := <-a.arrivals:
			a.queue.arrive(a.settings.Now(), t)
		case l := <-a.leavings:
			a.queue.Withdraw(l.ticket, l.err)
		case reply := <-a.readings:
			reply <- a.queue.Demand()
		case reserve := <-a.reserves:
			a.queue.budgets.resize(reserve)
		case <-a.wakes:
			a.settle()
			a.queue.Pump(a.settings.Now())
		case <-timer.C:
			a.queue.Pump(a.settings.Now())
		}
		a.answer()
	}
}

// answer hands the decisions to the callers.
func (a *Admitter) answer() {
	for _, d := range a.queue.Take() {
		if d.Grant != nil {
			d.Grant.admitter = a
		}
		d.Ticket.answer <- d
	}
}

// settle takes in the grants that have ended.
func (a *Admitter) settle() {
	a.endingsMutex.Lock()
	endings := a.endings
	a.endings = nil
	a.endingsMutex.Unlock()
	for _, e := range endings {
		a.queue.End(e.grant, e.result)
	}
}

// idleWake is how often the queue is looked at when nothing is due, and
// soonestWake the shortest time between two looks.
const (
	idleWake    = time.Hour
	soonestWake = time.Millisecond
)

func (a *Admitter) arm(timer *time.Timer) {
	next := a.queue.Next()
	if next.IsZero() {
		timer.Reset(idleWake)
		return
	}
	timer.Reset(max(soonestWake, next.Sub(a.settings.Now())))
}
