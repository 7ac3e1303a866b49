package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocklink/quarantiner"
	"burdocklink/reporter"
	"burdocklink/router"
)

// maxAnswerBytes is the size limit of an answer that is not streamed.
const maxAnswerBytes = 16 << 20

// forwardWhole reads the whole answer before any of it is written to the caller, so that
// a truncated answer never looks complete.
func (x *exchange) forwardWhole(ctx context.Context, response *http.Response, info AnswerInfo) error {
	reader := &limitedReader{source: io.LimitReader(response.Body, maxAnswerBytes+1), buffer: x.ownBuffer()}
	body, err := io.ReadAll(reader)
	_ = response.Body.Close()
	if err == nil && !framed(response) && x.checkCrash(ctx, quarantiner.StageBeginning) {
		// the end of the connection is no end of the answer then
		err = io.ErrUnexpectedEOF
	} else if err != nil {
		x.checkCrash(ctx, quarantiner.StageBeginning)
	}
	if err != nil {
		x.settle(router.OutcomeFailed)
		return &LostError{Cause: err}
	}
	if response.StatusCode < http.StatusMultipleChoices {
		x.pass.Completed()
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
	if x.attempts.answerStarted {
		// a broken stream can only be resumed by another stream
		return &BrokenStreamError{Cause: &StatusError{Status: got.status}}
	}
	if got.status >= http.StatusInternalServerError && x.attempts.mayRetry(x.route, time.Now(), x.deadline) {
		x.fallback = got
		return &StatusError{Status: got.status}
	}
	return x.writeAnswer(got)
}

// checkAnswer returns an error if the answer must not be written to the caller: a success
// without the upstream's signature, or a status that promises that the request has not
// run although the upstream did not state so.
func (x *exchange) checkAnswer(got *answer, info AnswerInfo) error {
	if got.status < http.StatusMultipleChoices && !info.Signed {
		return &LostError{Cause: &StatusError{Status: got.status}}
	}
	if promisesNotRun(got.status) {
		return &LostError{Cause: &StatusError{Status: got.status}}
	}
	return nil
}

// writeAnswer writes a whole answer to the caller.
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

// keepContentType prevents the server from detecting a content type if the upstream sent
// none.
func (x *exchange) keepContentType(from http.Header) {
	if _, given := from["Content-Type"]; !given {
		x.w.Header()["Content-Type"] = nil
	}
}
