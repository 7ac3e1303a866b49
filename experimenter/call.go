package experimenter

import (
	"time"

	"burdocklink/admitter"
)

// call is the state of one request.
type call struct {
	plannedRequest
	entry      *entry
	firstToken time.Time
	ended      time.Time
	outcome    outcome
	// retries is the number of attempts after the first.
	retries int
	avoid   []string
	// finalAnswers must be 1 at the end of the run.
	finalAnswers int
}

// outcome is the result of a request for its caller.
type outcome int

const (
	pending outcome = iota
	finished
	targetMissed
	overloaded
	noUpstream
	failed
)

// attempt is one dispatch of a call.
type attempt struct {
	call   *call
	server *server
	id     uint64
	// grant is nil under a policy without admission.
	grant *admitter.Grant
}

// metTarget reports whether the call met the target of its class.
func (c *call) metTarget() bool {
	if c.outcome != finished {
		return false
	}
	target := c.request.Class.Target
	if target.FirstToken > 0 && c.firstToken.Sub(c.request.Arrived) > target.FirstToken {
		return false
	}
	if target.Whole > 0 && c.ended.Sub(c.request.Arrived) > target.Whole {
		return false
	}
	if target.BetweenTokens > 0 && c.answerTokens > 1 {
		gap := c.ended.Sub(c.firstToken) / time.Duration(c.answerTokens-1)
		return gap <= target.BetweenTokens
	}
	return true
}
