package prover_test

const subscriberName = "couple"

// entry is a started entry.
type entry struct {
	process *process
	name    string
}
