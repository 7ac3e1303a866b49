package receiver

import (
	"encoding/json"
	"net/http"
	"time"

	"burdocklink/encoder"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
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

// write writes a whole answer.
func (x *exchange) write(status int, outcome string, body []byte) error {
	header := x.w.Header()
	header.Set(encoder.HeaderOutcome, outcome)
	header.Set(encoder.HeaderRequestID, x.id)
	header.Del("Content-Length")
	x.closeIfDraining()
	x.headerSent = true
	_ = x.control.SetWriteDeadline(time.Now().Add(x.Settings.WriteTimeout))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

// closeIfDraining makes the connection close after the answer, so that the caller's
// next request does not arrive while the listener closes.
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

func (x *exchange) writeText(body string) error {
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	return x.write(http.StatusOK, encoder.OutcomeRan, []byte(body))
}

// copyHeader copies header fields, except hop-by-hop fields and those that this system
// sets itself.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range from["Connection"] {
		to.Del(name)
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	to.Del("Content-Length")
	to.Del(encoder.HeaderOutcome)
	to.Del(encoder.HeaderRequestID)
	to.Del(encoder.HeaderNotRun)
	to.Del(encoder.HeaderLeaving)
	to.Del(encoder.HeaderLimit)
}
