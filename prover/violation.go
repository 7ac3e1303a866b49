package prover

import "fmt"

// Violation is a violated guarantee. It is one of the types below.
type Violation interface {
	fmt.Stringer
	violation()
}

// MemoryOvercommitted violates "the memory of an upstream is never
// overcommitted".
type MemoryOvercommitted struct{ Memory Memory }

// Unreachable violates "every model and adapter stays reachable".
type Unreachable struct {
	Copies Copies
	// Reason is "never lost with an upstream" or "not restored in time".
	Reason string
}

// WrongAnswer violates "callers get the complete answer to their own request".
type WrongAnswer struct {
	Answer Answer
	// Reason is "not whole" or "not the request's own".
	Reason string
}

// FalseOutcome is the outcome "not-run" for a request that ran, or "ran" for one
// that did not.
type FalseOutcome struct {
	Answer Answer
	// Runs are the runs that contradict "not-run", empty for "ran".
	Runs []Run
}

// RepeatedRun violates "a non-repeatable request runs at most once".
type RepeatedRun struct{ Runs []Run }

// LateDispatch violates "a leaving upstream receives no new requests".
type LateDispatch struct {
	Leaving Leaving
	Ran     Run
}

// CutByShutdown violates "a graceful shutdown completes all requests in
// flight".
type CutByShutdown struct {
	Shutdown Shutdown
	Answer   Answer
}

// NotInForce violates "an accepted change is in force at all entries within
// seconds".
type NotInForce struct {
	Accepted Accepted
	Seen     Revision
}

// Reverted violates "a change in force is never reverted".
type Reverted struct{ Before, After Revision }

// DoublyAccepted violates "one change per base revision" or "a resent change is
// accepted once".
type DoublyAccepted struct{ First, Second Accepted }

func (MemoryOvercommitted) violation() {}
func (Unreachable) violation()         {}
func (WrongAnswer) violation()         {}
func (FalseOutcome) violation()        {}
func (RepeatedRun) violation()         {}
func (LateDispatch) violation()        {}
func (CutByShutdown) violation()       {}
func (NotInForce) violation()          {}
func (Reverted) violation()            {}
func (DoublyAccepted) violation()      {}

// String describes the violation.
func (v MemoryOvercommitted) String() string {
	return fmt.Sprintf("memory overcommitted: %+v", v.Memory)
}

// String describes the violation.
func (v Unreachable) String() string {
	return fmt.Sprintf("unreachable (%s): %+v", v.Reason, v.Copies)
}

// String describes the violation.
func (v WrongAnswer) String() string {
	return fmt.Sprintf("answer %s: %+v", v.Reason, v.Answer)
}

// String describes the violation.
func (v FalseOutcome) String() string {
	return fmt.Sprintf("false outcome: %+v, runs %+v", v.Answer, v.Runs)
}

// String describes the violation.
func (v RepeatedRun) String() string {
	return fmt.Sprintf("ran more than once: %+v", v.Runs)
}

// String describes the violation.
func (v LateDispatch) String() string {
	return fmt.Sprintf("new work after leaving: %+v, %+v", v.Leaving, v.Ran)
}

// String describes the violation.
func (v CutByShutdown) String() string {
	return fmt.Sprintf("cut by shutdown: %+v, %+v", v.Shutdown, v.Answer)
}

// String describes the violation.
func (v NotInForce) String() string {
	return fmt.Sprintf("not in force in time: %+v, %+v", v.Accepted, v.Seen)
}

// String describes the violation.
func (v Reverted) String() string {
	return fmt.Sprintf("reverted: %+v, then %+v", v.Before, v.After)
}

// String describes the violation.
func (v DoublyAccepted) String() string {
	return fmt.Sprintf("accepted twice: %+v, %+v", v.First, v.Second)
}
