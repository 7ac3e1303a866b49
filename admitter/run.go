package admitter

import "time"

// run owns the core until Stop.
func (a *Admitter) run() {
	defer close(a.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		a.arm(timer)
		select {
		case <-a.stopping:
			a.core.stop()
			return
		case t := <-a.arrivals:
			t.admitter = a
			a.core.arrive(a.settings.Now(), t)
		case l := <-a.leavings:
			a.core.withdraw(l.ticket, l.err)
		case reply := <-a.readings:
			reply <- a.core.demand.demand()
		case <-a.wakes:
			a.settle()
			a.core.pump(a.settings.Now())
		case <-timer.C:
			a.core.pump(a.settings.Now())
		}
	}
}

// settle takes in the grants that have ended.
func (a *Admitter) settle() {
	a.endingsMutex.Lock()
	endings := a.endings
	a.endings = nil
	a.endingsMutex.Unlock()
	for _, e := range endings {
		a.core.ended(e)
	}
}

// idleWake is how often the queue is looked at when nothing is due.
const idleWake = time.Hour

func (a *Admitter) arm(timer *time.Timer) {
	next := a.core.next()
	if next.IsZero() {
		timer.Reset(idleWake)
		return
	}
	timer.Reset(max(0, next.Sub(a.settings.Now())))
}
