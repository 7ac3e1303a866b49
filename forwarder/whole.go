package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocklink/reporter"
	"burdocklink/router"
)

// mostAnswerBytes bounds an answer that is passed on as a whole.
const mostAnswerBytes = 16 << 20

// whole reads an answer to its end before anything of it goes to the caller,
// so that one that breaks never looks complete.
func (x *exchange) whole(response *http.Response, said Answer) error {
	reader := &heldReader{from: io.LimitReader(response.Body, mostAnswerBytes+1), all: &x.held, own: &x.heldBytes}
	body, err := io.ReadAll(reader)
	_ = response.Body.Close()
	if err != nil {
		x.settle(router.OutcomeFailed)
		return &LostError{Cause: err}
	}
	if len(body) > mostAnswerBytes {
		x.settle(router.OutcomeFailed)
		return &LostError{Cause: &BodyTooLargeError{Limit: mostAnswerBytes}}
	}
	got := &answer{status: response.StatusCode, header: response.Header, body: body}
	if fault := x.fault(got, said); fault != nil {
		x.settle(router.OutcomeFailed)
		return fault
	}
	x.settle(router.OutcomeFinished)
	if x.tries.begun {
		// only a stream can go on where another broke
		return &BrokenStreamError{Cause: &FailedError{Status: got.status}}
	}
	if got.status >= http.StatusInternalServerError && x.tries.mayAgain(x.route, time.Now(), x.deadline) {
		x.failure = got
		return &FailedError{Status: got.status}
	}
	return x.deliver(got)
}

// fault says why an answer can't go to the caller. A success must be signed by
// the upstream, and a status that promises that the request has not run needs
// the upstream's word for it.
func (x *exchange) fault(got *answer, said Answer) error {
	if got.status < http.StatusMultipleChoices && !said.Signed {
		return &LostError{Cause: &FailedError{Status: got.status}}
	}
	if promises(got.status) {
		return &LostError{Cause: &FailedError{Status: got.status}}
	}
	return nil
}

// deliver gives a whole answer to the caller.
func (x *exchange) deliver(got *answer) error {
	header := x.w.Header()
	x.Codec.AnswerHeader(header, got.header)
	x.plainType(got.header)
	if x.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	x.status = got.status
	x.w.WriteHeader(got.status)
	_, err := x.w.Write(got.body)
	x.result = reporter.ResultWhole
	if got.status >= http.StatusInternalServerError {
		x.result = reporter.ResultFailed
	}
	if err != nil {
		x.result = reporter.ResultAbandoned
	}
	x.record(err)
	return nil
}

// plainType keeps the server from guessing a content type.
func (x *exchange) plainType(from http.Header) {
	if _, given := from["Content-Type"]; !given {
		x.w.Header()["Content-Type"] = nil
	}
}
