package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocklink/reporter"
	"burdocklink/router"
)

// writeTime is how long after the end of a request's time the caller may take
// to read the last bytes.
const writeTime = time.Second

func formatID(id uint64) string { return strconv.FormatUint(id, 10) }

// stream passes events on as they arrive. The caller's answer keeps the header
// of the first upstream; a stream that goes on elsewhere begins after the last
// event that the caller has.
func (x *exchange) stream(response *http.Response, said Answer) error {
	defer func() { _ = response.Body.Close() }()
	if fault := x.fault(&answer{status: response.StatusCode}, said); fault != nil {
		x.settle(router.OutcomeFailed)
		return fault
	}
	events := newEventReader(response.Body)
	for {
		arrived, err := events.next()
		if err == io.EOF {
			return x.complete(response)
		}
		if err == nil {
			err = x.relay(response, arrived)
		}
		if err != nil {
			return x.broken(err)
		}
	}
}

// relay writes whole events and flushes them.
func (x *exchange) relay(response *http.Response, arrived []byte) error {
	x.begin(response)
	err := split(arrived, x.pass)
	if err != nil {
		return err
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return &callerGoneError{cause: err}
	}
	return nil
}

// begin sends the header with the first event.
func (x *exchange) begin(response *http.Response) {
	if x.tries.begun {
		return
	}
	x.tries.begun = true
	x.firstToken = time.Now()
	x.grant.FirstToken(x.firstToken)
	x.Codec.AnswerHeader(x.w.Header(), response.Header)
	x.w.Header().Del("Content-Length")
	x.plainType(response.Header)
	// the call fails only where the connection has no deadlines
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeTime))
	x.status = response.StatusCode
	x.w.WriteHeader(response.StatusCode)
}

// pass writes one event unless the caller has it already.
func (x *exchange) pass(event []byte) error {
	id, numbered := eventID(event)
	if numbered && x.last > 0 {
		if id <= x.last {
			return nil
		}
		if id != x.last+1 {
			return &EventOrderError{Want: x.last + 1, Got: id}
		}
	}
	if _, err := x.w.Write(event); err != nil {
		return &callerGoneError{cause: err}
	}
	if numbered {
		x.last = id
	}
	x.events++
	return nil
}

// complete ends an answer whose stream came to its end.
func (x *exchange) complete(response *http.Response) error {
	x.begin(response)
	x.settle(router.OutcomeFinished)
	x.result = reporter.ResultWhole
	x.record(nil)
	return nil
}

// broken takes in a stream that ended early.
func (x *exchange) broken(err error) error {
	var gone *callerGoneError
	if errors.As(err, &gone) {
		x.settle(router.OutcomeCancelled)
		return err
	}
	x.settle(router.OutcomeFailed)
	return &BrokenStreamError{Cause: err}
}

// callerGoneError says that the caller's connection can't be written to.
type callerGoneError struct{ cause error }

// Error describes the loss.
func (e *callerGoneError) Error() string { return "the caller is gone: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.cause }
