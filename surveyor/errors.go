package surveyor

// SupersededError says that another process's reading of the list was taken in
// while this one was under way. Which of them is newer is not known.
type SupersededError struct{}

// Error describes the reading.
func (e *SupersededError) Error() string { return "another reading of the list came meanwhile" }

// StaleError says that a reading of the list is too old to be of use, or that the
// VM was suspended since.
type StaleError struct{}

// Error describes the reading.
func (e *StaleError) Error() string { return "the reading of the list is old" }
