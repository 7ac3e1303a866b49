package encoder

// NewerVersionError reports a message with a field or kind that this version does
// not know. No part of the message may be used.
type NewerVersionError struct {
	// Message is the name of the message type.
	Message string
}

// Error implements error.
func (e *NewerVersionError) Error() string {
	return "written by a newer version: unknown content in " + e.Message
}

// MalformedMessageError reports bytes that are not a valid protobuf message.
type MalformedMessageError struct {
	Message string
	Cause   error
}

// Error implements error.
func (e *MalformedMessageError) Error() string {
	return "malformed " + e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedMessageError) Unwrap() error { return e.Cause }

// UnsupportedTypeError reports a domain value without a wire format.
type UnsupportedTypeError struct{ Message string }

// Error implements error.
func (e *UnsupportedTypeError) Error() string { return "no wire form for a " + e.Message }
