// Package faker provides stand-ins for the four outside systems: model engines,
// plain services, the platform's list and the weight store. They speak the
// upstream protocol of package encoder, record what they did and inject faults
// on request. They are for tests and experiments.
package faker

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"burdocklink/encoder"
)

const headerReadTimeout = 10 * time.Second

// httpServer serves HTTP for one stand-in.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

// start listens on the address and serves the handler.
func (h *httpServer) start(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	h.listener = listener
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout}
	go h.runServer()
	return nil
}

func (h *httpServer) runServer() {
	_ = h.server.Serve(h.listener)
}

// Address returns the IP and port that the stand-in listens on.
func (h *httpServer) Address() string { return h.listener.Addr().String() }

// stop drains requests in flight until the deadline, then closes their
// connections.
func (h *httpServer) stop(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := h.server.Shutdown(ctx); err != nil {
		return eris.Wrap(h.server.Close(), "close")
	}
	return nil
}

// answer sends a value as a JSON answer.
func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// refuse sends an error answer that marks the request as not run.
func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(encoder.HeaderNotRun, "true")
	answer(w, status, encoder.UpstreamErrorReply{Error: encoder.UpstreamErrorDetail{
		Message: message,
		Type:    "invalid_request_error",
		Code:    code,
	}})
}

// read decodes a JSON body. It refuses a malformed request and returns false.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return false
	}
	return true
}

// drop aborts the current request and closes its connection.
func drop() {
	panic(http.ErrAbortHandler)
}
