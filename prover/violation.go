package prover

import "fmt"

// Violation is one broken promise. It is one of the types below.
type Violation interface {
	fmt.Stringer
	violation()
}

// MemoryOvercommitted breaks "memory is never overcommitted".
type MemoryOvercommitted struct{ Memory Memory }

// Unreachable breaks "every model and adapter stays reachable".
type Unreachable struct {
	Copies Copies
	// Reason is "never lost with an upstream" or "not restored in time".
	Reason string
}

// WrongAnswer breaks "the whole answer to their own request".
type WrongAnswer struct {
	Answer Answer
	// Reason is "not whole" or "not the request's own".
	Reason string
}

// FalseOutcome breaks "not run really was not run", or says "ran" of a request
// that never did.
type FalseOutcome struct {
	Answer Answer
	// Runs are the runs that the answer denies; none where it claims one.
	Runs []Run
}

// RepeatedRun breaks "runs at most once".
type RepeatedRun struct{ Runs []Run }

// LateDispatch breaks "a leaving upstream receives no new work".
type LateDispatch struct {
	Leaving Leaving
	Ran     Run
}

// CutByShutdown breaks "a graceful shutdown cuts off no request in flight".
type CutByShutdown struct {
	Shutdown Shutdown
	Answer   Answer
}

// NotInForce breaks "in force everywhere within seconds".
type NotInForce struct {
	Accepted Accepted
	Seen     Revision
}

// Reverted breaks "never reverts".
type Reverted struct{ Before, After Revision }

// DoublyAccepted says that two changes won on one revision, or that a resend
// was accepted a second time.
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
