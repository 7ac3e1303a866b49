package authenticator

import "strconv"

// MissingKeyError reports that a request carries no key.
type MissingKeyError struct{}

// Error describes the refusal.
func (e *MissingKeyError) Error() string { return "the request carries no key" }

// UnknownKeyError reports that the key is unknown.
type UnknownKeyError struct{}

// Error describes the refusal.
func (e *UnknownKeyError) Error() string { return "the key is not known" }

// UnknownRoleError reports that a word is not a role.
type UnknownRoleError struct{ Word string }

// Error describes the fault.
func (e *UnknownRoleError) Error() string { return "unknown role " + strconv.Quote(e.Word) }

// MalformedHashError reports that a hash is not "sha256:" and 64 hexadecimal digits.
type MalformedHashError struct{}

// Error describes the fault.
func (e *MalformedHashError) Error() string { return "the hash is not sha256: and 64 hex digits" }

// EmptyNameError reports that a key has no owner.
type EmptyNameError struct{}

// Error describes the fault.
func (e *EmptyNameError) Error() string { return "the name is empty" }

// DuplicateKeyError reports that two lines have the same hash.
type DuplicateKeyError struct{}

// Error describes the fault.
func (e *DuplicateKeyError) Error() string { return "the key stands twice" }

// LineError reports a faulty key of a keys file. Line counts the keys from 1.
type LineError struct {
	Line  int
	Cause error
}

// Error describes the fault.
func (e *LineError) Error() string {
	return "key " + strconv.Itoa(e.Line) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }
