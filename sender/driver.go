package sender

import (
	"time"

	"go.uber.org/zap"

	"burdocklink/orderer"
)

// driver sends and polls the orders of one upstream, oldest first.
type driver struct {
	sender   *Sender
	upstream string
	wake     chan struct{}
	// tasks are guarded by the sender's mutex.
	tasks []Task
	// reported are the IDs of orders whose outcome was published.
	reported map[uint64]bool
	failures int
	delay    time.Duration
}

func newDriver(s *Sender, upstream string, tasks []Task) *driver {
	return &driver{
		sender:   s,
		upstream: upstream,
		wake:     make(chan struct{}, 1),
		tasks:    tasks,
		reported: map[uint64]bool{},
		delay:    s.settings.MinPollInterval,
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
	for i := range a {
		if a[i].Order.ID != b[i].Order.ID || a[i].Address != b[i].Address {
			return false
		}
	}
	return true
}

// run returns when no tasks are left.
func (d *driver) run() {
	defer d.sender.running.Done()
	for {
		tasks, more := d.take()
		if !more {
			return
		}
		if d.advanceAll(tasks) {
			d.delay = d.sender.settings.MinPollInterval
		}
		d.wait()
	}
}

// take returns the tasks. If there are none, it removes the driver and returns false.
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

// wait sleeps with exponential backoff, or until the tasks change.
func (d *driver) wait() {
	timer := time.NewTimer(d.delay)
	defer timer.Stop()
	d.delay = min(2*d.delay, d.sender.settings.MaxPollInterval)
	select {
	case <-timer.C:
	case <-d.wake:
		d.delay = d.sender.settings.MinPollInterval
	case <-d.sender.ctx.Done():
	}
}

// advanceAll advances each order by one step and reports whether any was settled. After
// a failed call the other orders wait for the next round.
func (d *driver) advanceAll(tasks []Task) bool {
	ended := false
	for _, task := range tasks {
		if d.reported[task.Order.ID] {
			continue
		}
		settled, err := d.advance(task)
		if err != nil {
			d.recordFailure(task, err)
			return ended
		}
		d.failures = 0
		if settled != nil {
			d.reported[task.Order.ID] = true
			d.sender.publish(*settled)
			ended = true
		}
	}
	return ended
}

// recordFailure counts a failed call, and publishes Unresponsive after maxFailedCalls.
func (d *driver) recordFailure(task Task, err error) {
	d.failures++
	if d.failures != maxFailedCalls || d.sender.ctx.Err() != nil {
		return
	}
	d.sender.log.Warn("upstream does not respond to order queries",
		zap.String("upstream", d.upstream), zap.Uint64("order", task.Order.ID), zap.Error(err))
	d.sender.publish(Unresponsive{Upstream: d.upstream, Incarnation: task.Order.Incarnation, Cause: err})
}

// advance queries an order, and sends it if the upstream has not received it. It
// returns nil while the order is not settled.
//
// Only the reply to a query settles an order. The reply to sending it may be that to a
// duplicate: because of the fence an upstream may refuse an order that it has already
// carried out.
//
// An order that is unknown to the upstream ClockMargin after NotAfter can't start any
// more. This relies on upstreams remembering orders for longer than that.
func (d *driver) advance(task Task) (*Settled, error) {
	queriedAt := time.Now()
	status, err := d.sender.queryOrder(task)
	if err != nil {
		return nil, err
	}
	if _, unknown := status.(statusUnknown); !unknown {
		return settle(task.Order, status), nil
	}
	if queriedAt.After(task.Order.NotAfter.Add(orderer.ClockMargin)) {
		return &Settled{Order: task.Order, Outcome: orderer.OutcomeExpired}, nil
	}
	if !time.Now().Before(task.Order.NotAfter) {
		return nil, nil
	}
	_, err = d.sender.postOrder(task)
	return nil, err
}

// settle returns the outcome of an order, or nil if it is not settled.
func settle(order orderer.Order, status orderStatus) *Settled {
	switch status := status.(type) {
	case statusDone:
		return &Settled{Order: order, Outcome: orderer.OutcomeDone}
	case statusRefused:
		return &Settled{Order: order, Outcome: orderer.OutcomeRefused, Reason: status.reason}
	default:
		return nil
	}
}
