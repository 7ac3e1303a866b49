package prover_test

import (
	"bytes"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// testTimeout is how long tests wait for a condition.
	testTimeout = 40 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// eventually polls a condition and fails the test after testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// output collects the output of a process.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is a started program.
type process struct {
	name      string
	program   string
	arguments []string
	command   *exec.Cmd
	output    *output
	ended     chan struct{}
}

// start runs burdocklink and kills it at the end of the test.
func start(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	return startProgram(t, binary, name, arguments...)
}

// startProgram runs a program and kills it at the end of the test.
func startProgram(t *testing.T, program, name string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, program: program, arguments: arguments, output: &output{}}
	t.Cleanup(func() { p.cleanUp(t) })
	p.launch(t)
	return p
}

// launch starts the program, also again after it has ended.
func (p *process) launch(t *testing.T) {
	t.Helper()
	p.command = exec.Command(p.program, p.arguments...)
	p.command.Stdout = p.output
	p.command.Stderr = p.output
	p.ended = make(chan struct{})
	assert.NilError(t, p.command.Start())
	go p.runAwaitExit(p.command, p.ended)
}

func (p *process) runAwaitExit(command *exec.Cmd, ended chan<- struct{}) {
	_ = command.Wait()
	close(ended)
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill sends SIGKILL and waits for the process to end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// awaitExit waits for the process to end and returns its exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	eventually(t, p.name+" ends", p.exited)
	return p.command.ProcessState.ExitCode()
}

func (p *process) exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// cleanUp kills the process and fails the test if it reported a data race. It
// logs the end of the output if the test has failed.
func (p *process) cleanUp(t *testing.T) {
	p.signal(syscall.SIGCONT)
	p.kill()
	if strings.Contains(p.output.String(), "DATA RACE") {
		t.Errorf("%s: data race", p.name)
	}
	if t.Failed() {
		t.Logf("%s %s:\n%s", p.name, strings.Join(p.arguments, " "), tail(p.output.String()))
	}
}

// tail returns the last 6000 bytes of a text.
func tail(text string) string {
	const most = 6000
	return text[max(0, len(text)-most):]
}

// awaitAddress waits for the output line with the listen address and returns the
// address.
func (p *process) awaitAddress(t *testing.T) string {
	t.Helper()
	const mark = "listening "
	found := ""
	eventually(t, p.name+" listens", func() bool {
		for line := range strings.Lines(p.output.String()) {
			if text, ok := strings.CutPrefix(strings.TrimSpace(line), mark); ok {
				found = text
			}
		}
		return found != "" || p.exited()
	})
	assert.Assert(t, found != "", "%s ended", p.name)
	return found
}

// awaitServing waits until the process has logged that it is serving.
func (p *process) awaitServing(t *testing.T) {
	t.Helper()
	eventually(t, p.name+" serves", func() bool {
		return strings.Contains(p.output.String(), `"msg":"serving"`) || p.exited()
	})
	assert.Assert(t, !p.exited(), "%s ended", p.name)
}

// The ports of tests are below the ephemeral port range of the kernel.
const (
	firstPort = 20000
	portCount = 12000
)

// nextPort is the last used port offset. It starts at a different value in each
// test process.
var nextPort atomic.Int64

// freeAddress returns an unused address, a different one for each call.
func freeAddress(t *testing.T) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(os.Getpid())*97)
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return address
	}
	t.Fatal("no free port")
	return ""
}

// freeze suspends the process.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// thaw resumes the process.
func (p *process) thaw() { p.signal(syscall.SIGCONT) }
