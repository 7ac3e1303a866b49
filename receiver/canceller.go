package receiver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"burdocklink/dispatcher"
	"burdocklink/encoder"
)

const (
	cancelWorkers     = 4
	cancelQueueLength = 4096
	cancelTimeout     = 2 * time.Second
)

// canceller cancels streams on engines if no caller reads them any more.
type canceller struct {
	dispatcher *dispatcher.Dispatcher
	queue      chan dispatcher.Call
	stopping   chan struct{}
	running    sync.WaitGroup
}

func newCanceller(calls *dispatcher.Dispatcher) *canceller {
	return &canceller{
		dispatcher: calls,
		queue:      make(chan dispatcher.Call, cancelQueueLength),
		stopping:   make(chan struct{}),
	}
}

func (c *canceller) start() {
	for range cancelWorkers {
		c.running.Add(1)
		go c.loop()
	}
}

func (c *canceller) stop() {
	close(c.stopping)
	c.running.Wait()
}

// cancel queues the cancellation of a stream. If the queue is full, the stream is not
// cancelled: the engine drops streams without a reader by itself.
func (c *canceller) cancel(address, attempt string) {
	call := dispatcher.Call{
		Address: address,
		Method:  http.MethodDelete,
		Path:    encoder.PathStreams + attempt,
	}
	select {
	case c.queue <- call:
	default:
	}
}

func (c *canceller) loop() {
	defer c.running.Done()
	for {
		select {
		case call := <-c.queue:
			c.send(call)
		case <-c.stopping:
			c.drain()
			return
		}
	}
}

// drain sends the queued cancellations.
func (c *canceller) drain() {
	for {
		select {
		case call := <-c.queue:
			c.send(call)
		default:
			return
		}
	}
}

func (c *canceller) send(call dispatcher.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, _ = c.dispatcher.Do(ctx, call)
}
