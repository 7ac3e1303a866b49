package surveyor

// SupersededError reports that a reading of the list by another process was applied
// while this one was in progress. It is unknown which is newer.
type SupersededError struct{}

// Error implements error.
func (e *SupersededError) Error() string { return "another reading of the list came meanwhile" }

// StaleError reports that a reading of the list is too old, or that the VM has been
// suspended since.
type StaleError struct{}

// Error implements error.
func (e *StaleError) Error() string { return "the reading of the list is old" }
