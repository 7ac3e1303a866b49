package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"
)

// stallWatch cancels a call that makes no progress while a reader waits for it.
type stallWatch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
	// pieceRemaining is the time left for the current piece, once the reader has called
	// BeginPiece.
	pieceRemaining time.Duration
	perPiece       bool
}

func newStallWatch(ctx context.Context, timeout time.Duration) *stallWatch {
	w := &stallWatch{timeout: timeout}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(timeout, w.expire)
	w.timer.Stop()
	return w
}

func (w *stallWatch) expire() { w.cancel(&StalledError{}) }

func (w *stallWatch) arm() {
	if w.perPiece {
		w.timer.Reset(w.pieceRemaining)
		return
	}
	w.timer.Reset(w.timeout)
}

func (w *stallWatch) disarm() { w.timer.Stop() }

func (w *stallWatch) close() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// cause returns the *StalledError that cancelled the call, if any, in place of err.
func (w *stallWatch) cause(err error) error {
	var stalled *StalledError
	if errors.As(context.Cause(w.ctx), &stalled) {
		return stalled
	}
	return err
}

// watchedBody measures time only while a reader waits, because a slow caller is not a
// stalled upstream.
type watchedBody struct {
	io.ReadCloser
	watch      *stallWatch
	dispatcher *Dispatcher
}

func (b *watchedBody) Read(buffer []byte) (int, error) {
	start := time.Now()
	b.watch.arm()
	n, err := b.ReadCloser.Read(buffer)
	b.watch.disarm()
	b.watch.pieceRemaining -= time.Since(start)
	if err != nil && err != io.EOF {
		err = b.watch.cause(err)
		b.dispatcher.closeIdleIfStalled(err)
	}
	return n, err
}

// BeginPiece starts the wait for a piece of the body.
func (b *watchedBody) BeginPiece(timeout time.Duration) {
	b.watch.pieceRemaining, b.watch.perPiece = timeout, true
}

func (b *watchedBody) Close() error {
	b.watch.close()
	return b.ReadCloser.Close()
}
