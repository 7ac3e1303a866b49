package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocklink/quarantiner"
	"burdocklink/reporter"
	"burdocklink/router"
)

// writeGrace is how long after the deadline the caller may read the last bytes.
const writeGrace = time.Second

func formatID(id uint64) string { return strconv.FormatUint(id, 10) }

// parseID returns zero if text is not a number.
func parseID(text string) uint64 {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// forwardStream relays events as they arrive. The caller's answer keeps the header of the
// first upstream. A stream that is resumed at another upstream starts after the last
// event that the caller has.
func (x *exchange) forwardStream(ctx context.Context, response *http.Response, info AnswerInfo) error {
	defer func() { _ = response.Body.Close() }()
	if fault := x.checkAnswer(&answer{status: response.StatusCode}, info); fault != nil {
		x.settle(router.OutcomeFailed)
		return fault
	}
	x.continuing, x.placed = x.lastEventID > 0, false
	events := newEventReader(response.Body, x.ownBuffer())
	stage := quarantiner.StageBeginning
	for reads := 0; ; reads++ {
		arrived, err := events.next()
		if err == io.EOF && stage == quarantiner.StageBeginning && !framed(response) {
			err = &EmptyStreamError{}
		}
		if err == io.EOF {
			return x.endStream(ctx, response)
		}
		if err != nil {
			x.checkCrash(ctx, stage)
			return x.handleStreamError(err)
		}
		if reads == 1 {
			x.pass.Answered()
		}
		stage = quarantiner.StageAnswering
		if err := x.relayEvents(response, arrived); err != nil {
			return x.handleStreamError(err)
		}
	}
}

// endStream completes a stream that ended between two events. If its end can't be told from
// the end of the connection, a crash of the upstream has broken it off.
func (x *exchange) endStream(ctx context.Context, response *http.Response) error {
	if !framed(response) && x.checkCrash(ctx, quarantiner.StageAnswering) {
		return x.handleStreamError(io.ErrUnexpectedEOF)
	}
	x.pass.Completed()
	return x.completeStream(response)
}

// framed reports whether the end of an answer can be told from the end of its
// connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// relayEvents writes complete events and flushes them.
func (x *exchange) relayEvents(response *http.Response, arrived []byte) error {
	err := forEachEvent(arrived, func(event []byte) error {
		x.arrivedEvents++
		x.pass.Lasted(x.arrivedEvents)
		return x.relayEvent(response, event)
	})
	if err != nil {
		return err
	}
	if !x.attempts.answerStarted {
		return nil
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return &callerGoneError{cause: err}
	}
	return nil
}

// startAnswer writes the header before the first event.
func (x *exchange) startAnswer(response *http.Response) {
	if x.attempts.answerStarted {
		return
	}
	x.attempts.answerStarted = true
	x.beginStream()
	x.firstToken = time.Now()
	x.grant.FirstToken(x.firstToken)
	x.Codec.AnswerHeader(x.w.Header(), response.Header)
	x.w.Header().Del("Content-Length")
	x.keepContentType(response.Header)
	// this fails only if the connection does not support deadlines
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeGrace))
	x.status = response.StatusCode
	x.w.WriteHeader(response.StatusCode)
}

// relayEvent writes an event unless the caller already has it.
func (x *exchange) relayEvent(response *http.Response, event []byte) error {
	id, numbered := eventID(event)
	if !numbered && !x.mayRelayUnnumbered(event) {
		return &UnnumberedEventError{After: x.lastEventID}
	}
	x.placed = x.placed || numbered
	if numbered && x.lastEventID > 0 {
		if id <= x.lastEventID {
			return nil
		}
		if id != x.lastEventID+1 {
			return &EventOrderError{Want: x.lastEventID + 1, Got: id}
		}
	}
	x.startAnswer(response)
	if _, err := x.w.Write(event); err != nil {
		return &callerGoneError{cause: err}
	}
	if numbered {
		x.lastEventID = id
	}
	x.events++
	return nil
}

// mayRelayUnnumbered reports whether an event without an ID may be relayed. In a stream that goes on,
// it must follow an event of the same answer whose place is known.
func (x *exchange) mayRelayUnnumbered(event []byte) bool {
	return !x.continuing || isComment(event) || (x.placed && isEvent(event))
}

// completeStream finishes the caller's answer after the end of the stream.
func (x *exchange) completeStream(response *http.Response) error {
	x.startAnswer(response)
	x.settle(router.OutcomeFinished)
	x.result = reporter.ResultWhole
	x.record(nil)
	return nil
}

// handleStreamError settles the grant of a stream that failed.
func (x *exchange) handleStreamError(err error) error {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		x.settle(router.OutcomeCancelled)
		return err
	}
	x.settle(router.OutcomeFailed)
	return &BrokenStreamError{Cause: err}
}

// callerGoneError is returned if writing to the caller's connection fails.
type callerGoneError struct{ cause error }

// Error returns the cause.
func (e *callerGoneError) Error() string { return "the caller is gone: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.cause }
