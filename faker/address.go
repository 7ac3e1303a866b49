package faker

import (
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports below the ephemeral range, so that the system does not assign a free
// port to an outgoing connection before it is listened on.
const (
	firstPort = 20000
	lastPort  = 31999
	portTries = 200
)

// NoPortError reports that no free port was found.
type NoPortError struct{ Cause error }

// Error implements error.
func (e *NoPortError) Error() string { return "no free port: " + e.Cause.Error() }

// Unwrap returns the error of the last port tried.
func (e *NoPortError) Unwrap() error { return e.Cause }

// FreeAddress returns a loopback IP and port that nothing listens on, for
// processes that need their address before they listen. It returns a
// NoPortError after portTries attempts.
func FreeAddress() (string, error) {
	var last error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		return address, listener.Close()
	}
	return "", &NoPortError{Cause: last}
}
