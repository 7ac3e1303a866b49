package receiver

import (
	"encoding/json"
	"net/http"
	"time"

	"burdocklink/encoder"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// write sends a whole answer.
func (x *exchange) write(status int, outcome string, body []byte) error {
	header := x.w.Header()
	header.Set(encoder.HeaderOutcome, outcome)
	header.Set(encoder.HeaderRequestID, x.id)
	header.Del("Content-Length")
	x.closeIfDraining()
	x.answered = true
	_ = x.control.SetWriteDeadline(time.Now().Add(x.Settings.WriteTime))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

// closeIfDraining ends the caller's connection with the answer, so that its next
// request does not come in while the listener closes.
func (x *exchange) closeIfDraining() {
	if x.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) writeJSON(status int, outcome string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &encoder.MalformedError{Subject: "answer", Cause: err}
	}
	x.w.Header().Set("Content-Type", "application/json")
	return x.write(status, outcome, data)
}

func (x *exchange) writeText(text string) error {
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	return x.write(http.StatusOK, encoder.OutcomeRan, []byte(text))
}

// copyHeader passes header fields on, without those of one connection and
// those that this system sets.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range from["Connection"] {
		to.Del(name)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	to.Del("Content-Length")
	to.Del(encoder.HeaderOutcome)
	to.Del(encoder.HeaderRequestID)
	to.Del(encoder.HeaderNotRun)
	to.Del(encoder.HeaderLeaving)
	to.Del(encoder.HeaderLimit)
}
