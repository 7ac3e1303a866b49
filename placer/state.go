package placer

// State is what a plan hands to the next one. It is never changed in place.
type State struct {
	// Held are the models and adapters that had a copy at some time.
	Held map[string]bool
}

// Plan returns the moves to make now.
func Plan(input Input) Output {
	return Output{State: input.State}
}
