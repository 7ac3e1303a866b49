package launcher_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"burdocklink/launcher"
	"burdocklink/provisioner"
	"burdocklink/registrar"
)

// failingService is a service that fails as soon as it has started.
type failingService struct{ fail func() }

func (f *failingService) String() string { return "failing" }

func (f *failingService) Start(context.Context, *registrar.Registrar) error {
	f.fail()
	return nil
}

func (f *failingService) Stop(time.Time) error { return nil }

// brokenError is a failure that a restart does not fix.
type brokenError struct{}

func (*brokenError) Error() string { return "broken" }

// Guards against a process that exits when its disk is full: control members exited
// six times in a day with a full disk, and the platform restarted them each time.
func TestRunNodeRestartsWhileTheDiskIsFull(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	text := `{"node":"core-1","role":"control","ip":"127.0.0.1","zone":"z1","listen":{"control":"127.0.0.1:1"},
"seeds":["127.0.0.1:1"],"portRange":[2,9],"dataDir":"/tmp","cloud":{"address":"127.0.0.1:3"}}`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	full := fmt.Errorf("write: %w", syscall.ENOSPC)
	cases := map[string]struct {
		failures []error
		want     error
		starts   int
	}{
		"full, then free":   {[]error{full, full, context.Canceled}, context.Canceled, 3},
		"broken":            {[]error{&brokenError{}}, &brokenError{}, 1},
		"full, then broken": {[]error{full, &brokenError{}}, &brokenError{}, 2},
		"assembly fails":    {[]error{nil}, &brokenError{}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			starts := 0
			err := launcher.RunNode(t.Context(), launcher.Node{Path: path, Assemble: func(settings provisioner.Settings) (*provisioner.Node, error) {
				failure := c.failures[starts]
				starts++
				if failure == nil {
					return nil, &brokenError{}
				}
				service := &failingService{fail: func() { settings.Fatal(failure) }}
				return &provisioner.Node{Services: []registrar.Service{service}}, nil
			}}, zap.NewNop())
			assert.Equal(t, starts, c.starts)
			assert.Equal(t, err.Error(), c.want.Error())
		})
	}
}

func TestAHangUpDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	text := `{"node":"core-1","role":"control","ip":"127.0.0.1","zone":"z1","listen":{"control":"127.0.0.1:1"},
"seeds":["127.0.0.1:1"],"portRange":[2,9],"dataDir":"/tmp","cloud":{"address":"127.0.0.1:3"}}`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	err := launcher.RunNode(t.Context(), launcher.Node{Path: path, Assemble: func(provisioner.Settings) (*provisioner.Node, error) {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
		return nil, &brokenError{}
	}}, zap.NewNop())
	assert.ErrorType(t, err, &brokenError{})
}
