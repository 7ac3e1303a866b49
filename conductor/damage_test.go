package conductor_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/conductor"
	"burdocklink/recorder"
)

// damage inverts a byte in the middle of the first segment that has a frame after it.
func (g *cluster) damage(p *process) {
	g.t.Helper()
	names, err := filepath.Glob(filepath.Join(p.config.Folder, "log-*"))
	assert.NilError(g.t, err)
	data, err := os.ReadFile(names[0])
	assert.NilError(g.t, err)
	data[len(data)/3] ^= 0xff
	assert.NilError(g.t, os.WriteFile(names[0], data, 0o600))
}

func TestMemberWithDamagedDataRejoinsInsteadOfFailingAtEachStart(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	before := g.commit()
	leader := g.leader()
	var damaged *process
	for _, p := range g.processes {
		if p != leader {
			damaged = p
		}
	}
	disk := damaged.Disk()
	g.kill(damaged)
	g.damage(damaged)
	g.start(damaged)
	assert.Assert(t, damaged.Disk() != disk)
	g.eventually("the member votes again with its new identity", func() bool {
		voters := 0
		for _, member := range leader.Status().Members {
			if member.Disk == damaged.Disk() && member.Role == conductor.Voter {
				voters++
			}
		}
		return voters == 1 && g.models(damaged)[before].Name != ""
	})
}

func TestMembersWithDamagedDataFormNoNewGroup(t *testing.T) {
	g := newCluster(t, nil, "a", "b", "c")
	g.commit()
	for _, p := range g.processes {
		g.kill(p)
		g.damage(p)
	}
	for range 2 {
		for _, p := range g.processes {
			g.start(p)
		}
		for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			for name, p := range g.processes {
				assert.Equal(t, len(p.Status().Members), 0, name)
			}
		}
		for _, p := range g.processes {
			g.kill(p)
		}
	}
	for _, p := range g.processes {
		aside, err := filepath.Glob(filepath.Join(p.config.Folder, "damaged-log-*"))
		assert.NilError(t, err)
		assert.Assert(t, len(aside) > 0)
	}
}

func TestOnlyCopyOfDamagedDataIsKept(t *testing.T) {
	g := newCluster(t, nil, "a")
	g.commit()
	p := g.processes["a"]
	g.kill(p)
	g.damage(p)
	for range 2 {
		_, err := conductor.New(p.config)
		assert.ErrorType(t, err, &recorder.CorruptionError{})
	}
}
