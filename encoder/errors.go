package encoder

// NewerVersionError refuses bytes that hold a field or kind which this version
// does not know. Nothing of them may be used.
type NewerVersionError struct {
	// Message names the message that holds it.
	Message string
}

// Error describes the refusal.
func (e *NewerVersionError) Error() string {
	return "written by a newer version: unknown content in " + e.Message
}

// MalformedMessageError refuses bytes that are not a message at all.
type MalformedMessageError struct {
	Message string
	Cause   error
}

// Error describes the refusal.
func (e *MalformedMessageError) Error() string {
	return "malformed " + e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedMessageError) Unwrap() error { return e.Cause }

// UnsupportedTypeError says that a domain value has no wire form.
type UnsupportedTypeError struct{ Message string }

// Error describes the failure.
func (e *UnsupportedTypeError) Error() string { return "no wire form for a " + e.Message }
