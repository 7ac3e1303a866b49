package applier

// Limits of the state. They are part of the replicated state machine: every
// member of a group runs with the same values.
const (
	// MaxJournalEntries is the number of operators' changes that are remembered, for
	// the history and to answer a resend.
	MaxJournalEntries = 10_000
	// MaxJournalSteps is the number of single steps in all of them together.
	MaxJournalSteps = 100_000
	// MaxSteps is the number of single steps in one change.
	MaxSteps = 1_000
	// MaxNameBytes is the longest name of anything.
	MaxNameBytes = 256
	// MaxDepartures is the number of departed incarnations remembered.
	MaxDepartures = 8_192
)
