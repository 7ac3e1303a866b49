package recorder

// StorageError says that the folder can't be written or read. The process must
// end.
type StorageError struct {
	Action string
	Cause  error
}

// Error describes the failure.
func (e *StorageError) Error() string { return e.Action + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Cause }

// ClosedError says that the recorder was closed.
type ClosedError struct{}

// Error describes the misuse.
func (e *ClosedError) Error() string { return "recorder is closed" }

// LockedError says that another process uses the folder.
type LockedError struct{}

// Error describes the clash.
func (e *LockedError) Error() string { return "another process uses the data folder" }

// CorruptionError says that what was synced can't be read back. The disk must be
// replaced: the member joins anew under another identity.
type CorruptionError struct {
	File   string
	Reason string
}

// Error describes the damage.
func (e *CorruptionError) Error() string { return e.File + " is damaged: " + e.Reason }
