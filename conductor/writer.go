package conductor

import (
	"sync"

	"burdocklink/recorder"
	"burdocklink/replicator"
)

// syncResult is the sequence number up to which writes are synced, or an error.
type syncResult struct {
	sequence uint64
	err      error
}

// writer writes to the disk in its own goroutine. Writes that are queued during a
// sync share the next one.
type writer struct {
	recorder *recorder.Recorder
	synced   chan<- syncResult
	wake     chan struct{}
	stop     chan struct{}
	stopped  chan struct{}

	mutex sync.Mutex
	queue []replicator.Write
}

func newWriter(r *recorder.Recorder, synced chan<- syncResult) *writer {
	return &writer{
		recorder: r,
		synced:   synced,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// enqueue adds a write to the queue.
func (w *writer) enqueue(write replicator.Write) {
	w.mutex.Lock()
	w.queue = append(w.queue, write)
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// end stops the writer after the write in progress and discards queued writes.
func (w *writer) end() {
	close(w.stop)
	<-w.stopped
}

// run writes until the writer is stopped or a write fails.
func (w *writer) run() {
	defer close(w.stopped)
	for {
		select {
		case <-w.stop:
			return
		case <-w.wake:
		}
		result, written := w.flush()
		if !written {
			continue
		}
		select {
		case w.synced <- result:
		case <-w.stop:
			return
		}
		if result.err != nil {
			return
		}
	}
}

// flush writes all queued writes with one sync. It returns false if there were none.
func (w *writer) flush() (syncResult, bool) {
	w.mutex.Lock()
	queue := w.queue
	w.queue = nil
	w.mutex.Unlock()
	if len(queue) == 0 {
		return syncResult{}, false
	}
	for _, write := range queue {
		if err := w.recorder.Append(write); err != nil {
			return syncResult{err: err}, true
		}
	}
	sequence := queue[len(queue)-1].Sequence
	return syncResult{sequence: sequence, err: w.recorder.Sync()}, true
}
