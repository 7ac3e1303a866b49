package encoder_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/encoder"
	"burdocklink/encoder/wire"
)

func TestAttainmentCountsRefusedRequests(t *testing.T) {
	page := encoder.DecodeStatus(&wire.StatusReply{Classes: []*wire.ClassState{
		{Name: "waiting", Ended: 8, Refused: 2, Missed: 3},
		{Name: "idle"},
	}})

	assert.Equal(t, *page.Classes[0].Attained, 0.7)
	assert.Assert(t, page.Classes[1].Attained == nil)
}
