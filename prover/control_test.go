package prover_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOneMemberAcceptsAChange(t *testing.T) {
	f := newFleet(t)
	f.addMembers("control-1")

	first := f.mustSet(change{class: "interactive", request: "1", flags: []string{"--first-token", "2s"}})
	again := f.mustSet(change{class: "interactive", request: "1", flags: []string{"--first-token", "2s"}})

	assert.Equal(t, again.Revision, first.Revision)
	f.judge()
}
