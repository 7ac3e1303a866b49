package faker

import (
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports that the system does not give to connections of its own accord, so
// that a free one stays free until it is listened at.
const (
	firstPort = 20000
	lastPort  = 31999
	portTries = 200
)

// NoPortError says that no free port was found.
type NoPortError struct{ Cause error }

// Error describes the failure.
func (e *NoPortError) Error() string { return "no free port: " + e.Cause.Error() }

// Unwrap returns the last port's failure.
func (e *NoPortError) Unwrap() error { return e.Cause }

// FreeAddress returns a loopback address that nothing listens at, for processes
// that have to know an address before they listen.
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
