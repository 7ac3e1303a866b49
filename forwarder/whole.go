package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocklink/reporter"
	"burdocklink/router"
)

// maxAnswerBytes bounds an answer that is passed on as a whole.
const maxAnswerBytes = 16 << 20

// forwardWhole reads an answer to its end before anything of it goes to the caller,
// so that one that breaks never looks complete.
func (x *exchange) forwardWhole(response *http.Response, info AnswerInfo) error {
	reader := &limitedReader{source: io.LimitReader(response.Body, maxAnswerBytes+1), total: &x.buffered, own: &x.ownBytes}
	body, err := io.ReadAll(reader)
	_ = response.Body.Close()
	if err != nil {
		x.settle(router.OutcomeFailed)
		return &LostError{Cause: err}
	}
	if len(body) > maxAnswerBytes {
		x.settle(router.OutcomeFailed)
		return &LostError{Cause: &BodyTooLargeError{Limit: maxAnswerBytes}}
	}
	got := &answer{status: response.StatusCode, header: response.Header, body: body}
	if fault := x.checkAnswer(got, info); fault != nil {
		x.settle(router.OutcomeFailed)
		return fault
	}
	x.settle(router.OutcomeFinished)
	if x.attempts.responseStarted {
		// only a stream can go on where another broke
		return &BrokenStreamError{Cause: &StatusError{Status: got.status}}
	}
	if got.status >= http.StatusInternalServerError && x.attempts.mayRetry(x.route, time.Now(), x.deadline) {
		x.fallback = got
		return &StatusError{Status: got.status}
	}
	return x.writeAnswer(got)
}

// checkAnswer says why an answer can't go to the caller. A success must be signed by
// the upstream, and a status that promises that the request has not run needs
// the upstream's word for it.
func (x *exchange) checkAnswer(got *answer, info AnswerInfo) error {
	if got.status < http.StatusMultipleChoices && !info.Signed {
		return &LostError{Cause: &StatusError{Status: got.status}}
	}
	if promisesNotRun(got.status) {
		return &LostError{Cause: &StatusError{Status: got.status}}
	}
	return nil
}

// writeAnswer gives a whole answer to the caller.
func (x *exchange) writeAnswer(got *answer) error {
	header := x.w.Header()
	x.Codec.AnswerHeader(header, got.header)
	x.keepContentType(got.header)
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

// keepContentType keeps the server from guessing a content type.
func (x *exchange) keepContentType(from http.Header) {
	if _, given := from["Content-Type"]; !given {
		x.w.Header()["Content-Type"] = nil
	}
}
