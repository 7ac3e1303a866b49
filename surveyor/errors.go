package surveyor

// OvertakenError says that another process's reading of the list was taken in
// while this one was under way. Which of them is newer is not known.
type OvertakenError struct{}

// Error describes the reading.
func (e *OvertakenError) Error() string { return "another reading of the list came meanwhile" }

// OldError says that another entry's reading of the list is too old to be of
// use.
type OldError struct{}

// Error describes the reading.
func (e *OldError) Error() string { return "the other entry's reading of the list is old" }
