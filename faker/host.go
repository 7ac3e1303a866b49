// Package faker has small stand-ins of the four outside systems: the model
// engine, the plain service, the platform's list and the weight store. They
// speak the upstream protocol of package encoder, record what they did and
// have faults that can be switched on. They are for tests and experiments.
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

// headerReadTimeout bounds the wait for a request's header.
const headerReadTimeout = 10 * time.Second

// httpServer listens and serves for one stand-in.
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

// Address returns the IP and port listened on.
func (h *httpServer) Address() string { return h.listener.Addr().String() }

// stop waits for requests in flight until the deadline and then cuts them.
func (h *httpServer) stop(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := h.server.Shutdown(ctx); err != nil {
		return eris.Wrap(h.server.Close(), "close")
	}
	return nil
}

// answer writes a value as JSON.
func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(encoder.HeaderNotRun, "true")
	answer(w, status, encoder.UpstreamRefusal{Failure: encoder.UpstreamFailure{
		Message: message,
		Type:    "invalid_request_error",
		Code:    code,
	}})
}

// read decodes a JSON body and refuses the request where it is malformed.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return false
	}
	return true
}

// drop closes the connection of a request without an answer.
func drop() {
	panic(http.ErrAbortHandler)
}
