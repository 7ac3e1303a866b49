package linker

import "net"

// Listen opens a listener on an IP address and port. The error is a *ListenError.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

// ListenError is returned if a listener can't be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *ListenError) Error() string { return "listen at " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
