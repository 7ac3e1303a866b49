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
}

func newWatch(ctx context.Context, silence time.Duration) *watch {
	w := &watch{silence: silence}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(silence, w.expire)
	w.timer.Stop()
	return w
}

func (w *watch) expire() { w.cancel(&SilentError{}) }

func (w *watch) arm() { w.timer.Reset(w.silence) }

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
	b.watch.arm()
	n, err := b.ReadCloser.Read(into)
	b.watch.disarm()
	if err != nil && err != io.EOF {
		err = b.watch.cause(err)
		b.dispatcher.dropSilent(err)
	}
	return n, err
}

// SetSilence changes the longest wait for progress.
func (b *watchedBody) SetSilence(longest time.Duration) { b.watch.silence = longest }

func (b *watchedBody) Close() error {
	b.watch.close()
	return b.ReadCloser.Close()
}
