package recorder

// StorageError is returned if the folder can't be read or written. The process must
// exit.
type StorageError struct {
	Action string
	Cause  error
}

// Error describes the failure.
func (e *StorageError) Error() string { return e.Action + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Cause }

// ClosedError is returned if the recorder was closed.
type ClosedError struct{}

// Error describes the misuse.
func (e *ClosedError) Error() string { return "recorder is closed" }

// LockedError is returned if another process uses the folder.
type LockedError struct{}

// Error describes the conflict.
func (e *LockedError) Error() string { return "another process uses the data folder" }

// CorruptionError is returned if synced data can't be read back. The disk must be
// replaced, and the member must join again with a new identity.
type CorruptionError struct {
	File   string
	Reason string
}

// Error describes the corruption.
func (e *CorruptionError) Error() string { return e.File + " is damaged: " + e.Reason }
