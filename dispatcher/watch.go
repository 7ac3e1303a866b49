package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"
)

// watch cancels a call that shows no progress while something waits for it.
type watch struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
	// left is the rest of the time for the piece that is waited for, where the
	// reader says when it begins to wait for one.
	left   time.Duration
	pieces bool
}

func newWatch(ctx context.Context, silence time.Duration) *watch {
	w := &watch{silence: silence}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(silence, w.expire)
	w.timer.Stop()
	return w
}

func (w *watch) expire() { w.cancel(&SilentError{}) }

func (w *watch) arm() {
	if w.pieces {
		w.timer.Reset(w.left)
		return
	}
	w.timer.Reset(w.silence)
}

func (w *watch) disarm() { w.timer.Stop() }

func (w *watch) close() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// cause returns why the call was cancelled in place of the cancellation.
func (w *watch) cause(err error) error {
	var silent *SilentError
	if errors.As(context.Cause(w.ctx), &silent) {
		return silent
	}
	return err
}

// watchedBody counts time only while a reader waits: a slow caller is not a
// silent upstream.
type watchedBody struct {
	io.ReadCloser
	watch      *watch
	dispatcher *Dispatcher
}

func (b *watchedBody) Read(into []byte) (int, error) {
	began := time.Now()
	b.watch.arm()
	n, err := b.ReadCloser.Read(into)
	b.watch.disarm()
	b.watch.left -= time.Since(began)
	if err != nil && err != io.EOF {
		err = b.watch.cause(err)
		b.dispatcher.dropSilent(err)
	}
	return n, err
}

// Await begins the wait for a piece of the body.
func (b *watchedBody) Await(longest time.Duration) { b.watch.left, b.watch.pieces = longest, true }

func (b *watchedBody) Close() error {
	b.watch.close()
	return b.ReadCloser.Close()
}
