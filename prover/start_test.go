package prover_test

import (
	"net/http"
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

// The first start must end also if a control process is killed during it and comes back with
// settings that no longer say that it is the first one.
func TestFirstStartEndsThoughAProcessIsRestarted(t *testing.T) {
	for _, delay := range []time.Duration{30 * time.Millisecond, 250 * time.Millisecond} {
		for killed := range 3 {
			t.Run("core-"+strconv.Itoa(killed+1)+" after "+delay.String(), func(t *testing.T) {
				s := newPlatformSite(t)
				for i := range 3 {
					s.startNode("control", "core-"+strconv.Itoa(i+1), s.coreHost(i), true)
				}
				time.Sleep(delay)
				name := "core-" + strconv.Itoa(killed+1)
				s.nodes[name].kill()
				time.Sleep(300 * time.Millisecond)
				s.configure("control", name, s.coreHost(killed), false)
				s.nodes[name].launch(t)
				eventually(t, "a configuration is acknowledged", func() bool { return s.putConfiguration(3, "calendar") == http.StatusOK })
				assert.Equal(t, s.groupsCreated(), 1)
			})
		}
	}
}
