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

// FormatError is returned if intact data can't be decoded, for example because a newer
// version wrote it. The data must be kept.
type FormatError struct {
	File   string
	Reason string
}

// Error describes the content.
func (e *FormatError) Error() string { return e.File + " can't be decoded: " + e.Reason }

// CorruptionError is returned if synced data can't be read back. The member must join
// again with a new identity, on a new disk or after SetAside.
type CorruptionError struct {
	File   string
	Reason string
}

// Error describes the corruption.
func (e *CorruptionError) Error() string { return e.File + " is damaged: " + e.Reason }
