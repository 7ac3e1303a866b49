package applier

// Limits of the state. They are part of the replicated state machine: all
// members of a group must use the same values.
const (
	// MaxJournalEntries is the number of operators' changes kept for the history
	// and for answering resends.
	MaxJournalEntries = 10_000
	// MaxJournalSteps is the total number of steps in the journal.
	MaxJournalSteps = 100_000
	// MaxSteps is the number of steps in one change.
	MaxSteps = 1_000
	// MaxNameBytes is the maximum length of any name.
	MaxNameBytes = 256
	// MaxDepartures is the number of departed incarnations kept.
	MaxDepartures = 8_192
)
