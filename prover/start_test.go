package prover_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// groupsCreated returns how many groups the processes of a site have created.
func (s *platformSite) groupsCreated() int {
	created := 0
	for _, node := range s.nodes {
		created += strings.Count(node.output.String(), "created group")
	}
	return created
}

// Real control processes of which some are no seeds, with addresses before the seeds', must
// not start two groups that each decide.
func TestFirstStartFormsOneGroup(t *testing.T) {
	s := newPlatformSite(t)
	hosts := []string{s.coreHost(0), s.coreHost(1), s.coreHost(2), "127.80.0.1", "127.80.0.2"}
	for i, host := range hosts {
		s.startNode("control", "core-"+strconv.Itoa(i+1), host, true)
	}
	eventually(t, "a group", func() bool { return s.groupsCreated() > 0 })
	time.Sleep(2 * time.Second)
	assert.Equal(t, s.groupsCreated(), 1)
}
