package sender

import (
	"time"

	"go.uber.org/zap"

	"burdocklink/orderer"
)

// driver drives the orders of one upstream, the earliest first.
type driver struct {
	sender   *Sender
	upstream string
	wake     chan struct{}
	// tasks belong to the sender's mutex.
	tasks []Task
	// reported are orders whose end was told.
	reported map[uint64]bool
	failures int
	pause    time.Duration
}

func newDriver(s *Sender, upstream string, tasks []Task) *driver {
	return &driver{
		sender:   s,
		upstream: upstream,
		wake:     make(chan struct{}, 1),
		tasks:    tasks,
		reported: map[uint64]bool{},
		pause:    s.settings.AskEvery,
	}
}

// assign replaces the tasks. The sender's mutex must be held.
func (d *driver) assign(tasks []Task) {
	if sameOrders(d.tasks, tasks) {
		return
	}
	d.tasks = tasks
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func sameOrders(a, b []Task) bool {
	if len(a) != len(b) {
		return false
	}
	for at := range a {
		if a[at].Order.ID != b[at].Order.ID || a[at].Address != b[at].Address {
			return false
		}
	}
	return true
}

// run ends when no tasks are left.
func (d *driver) run() {
	defer d.sender.running.Done()
	for {
		tasks, more := d.take()
		if !more {
			return
		}
		if d.pursueAll(tasks) {
			d.pause = d.sender.settings.AskEvery
		}
		d.wait()
	}
}

// take returns the tasks, or ends the driver where there are none.
func (d *driver) take() ([]Task, bool) {
	s := d.sender
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(d.tasks) > 0 && s.ctx.Err() == nil {
		return d.tasks, true
	}
	delete(s.drivers, d.upstream)
	return nil, false
}

// wait pauses, longer each time, until the tasks change.
func (d *driver) wait() {
	timer := time.NewTimer(d.pause)
	defer timer.Stop()
	d.pause = min(2*d.pause, d.sender.settings.AskAtMost)
	select {
	case <-timer.C:
	case <-d.wake:
		d.pause = d.sender.settings.AskEvery
	case <-d.sender.ctx.Done():
	}
}

// pursueAll takes each order one step further and reports whether any ended.
// A call that fails leaves the rest for the next round.
func (d *driver) pursueAll(tasks []Task) bool {
	ended := false
	for _, task := range tasks {
		if d.reported[task.Order.ID] {
			continue
		}
		settled, err := d.pursue(task)
		if err != nil {
			d.fail(task, err)
			return ended
		}
		d.failures = 0
		if settled != nil {
			d.reported[task.Order.ID] = true
			d.sender.tell(*settled)
			ended = true
		}
	}
	return ended
}

// fail counts a call without an answer.
func (d *driver) fail(task Task, err error) {
	d.failures++
	if d.failures != silentCalls || d.sender.ctx.Err() != nil {
		return
	}
	d.sender.log.Warn("upstream does not answer for orders",
		zap.String("upstream", d.upstream), zap.Uint64("order", task.Order.ID), zap.Error(err))
	d.sender.tell(Silent{Upstream: d.upstream, Incarnation: task.Order.Incarnation, Cause: err})
}

// pursue asks for an order and sends it where the upstream has not seen it. It
// returns nil while the order has not ended.
//
// Only the answer to a question settles an order. The answer to sending it
// might be that to a duplicate: an upstream may refuse one because of the
// order's fence after it carried out the order itself.
//
// An order that the upstream has not seen once ClockMargin has passed since
// NotAfter can't begin any more. That rests on upstreams remembering orders
// for longer than that.
func (d *driver) pursue(task Task) (*Settled, error) {
	asked := time.Now()
	seen, err := d.sender.ask(task)
	if err != nil {
		return nil, err
	}
	if _, unseen := seen.(notSeen); !unseen {
		return ended(task.Order, seen), nil
	}
	if asked.After(task.Order.NotAfter.Add(orderer.ClockMargin)) {
		return &Settled{Order: task.Order, Outcome: orderer.OutcomeExpired}, nil
	}
	if !time.Now().Before(task.Order.NotAfter) {
		return nil, nil
	}
	_, err = d.sender.post(task)
	return nil, err
}

// ended gives the end of an order, or nil.
func ended(order orderer.Order, seen sight) *Settled {
	switch seen := seen.(type) {
	case done:
		return &Settled{Order: order, Outcome: orderer.OutcomeDone}
	case refused:
		return &Settled{Order: order, Outcome: orderer.OutcomeRefused, Reason: seen.reason}
	default:
		return nil
	}
}
