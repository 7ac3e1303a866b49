package linker

import "net"

// Listen opens a listener at an IP address and port. The error is a
// *ListenError.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

// ListenError says that an address can't be listened at.
type ListenError struct {
	Address string
	Cause   error
}

// Error describes the address.
func (e *ListenError) Error() string { return "listen at " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
