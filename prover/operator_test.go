package prover_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os/exec"
	"strconv"
	"time"

	"burdocklink/encoder"
	"burdocklink/prover"
)

// operatorName is the operator of all changes.
const operatorName = "anna"

// Exit codes of the operator commands.
const (
	exitDone     = 0
	exitConflict = 3
	exitNoAnswer = 5
)

// runCommand runs an operator command and returns its output and exit code.
func (f *fleet) runCommand(arguments ...string) ([]byte, int) {
	arguments = append(arguments, "--control", f.controlAddresses(), "--key", f.operatorKey, "--output", "json")
	command := exec.Command(binary, arguments...)
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	_ = command.Run()
	if code := command.ProcessState.ExitCode(); code != exitDone {
		f.t.Logf("%v: exit %d: %s", arguments, code, errOut.String())
		return out.Bytes(), code
	}
	return out.Bytes(), exitDone
}

// change is an operator's change of a class.
type change struct {
	class   string
	request string
	// based is the revision that the change is based on, 0 for the current one.
	based uint64
	flags []string
}

// sendChange sends a change once and records it if it was accepted. It returns the
// reply and the exit code.
func (f *fleet) sendChange(wanted change) (encoder.AcceptedPage, int) {
	arguments := append([]string{"class", "set", wanted.class, "--request", wanted.request}, wanted.flags...)
	based := prover.Unbased
	if wanted.based > 0 {
		based = wanted.based
		arguments = append(arguments, "--based", strconv.FormatUint(wanted.based, 10))
	}
	out, code := f.runCommand(arguments...)
	var page encoder.AcceptedPage
	if code != exitDone || json.Unmarshal(out, &page) != nil {
		return page, code
	}
	f.record(prover.Accepted{
		At:       time.Now(),
		Operator: operatorName,
		Request:  wanted.request,
		Based:    based,
		Revision: page.Revision,
	})
	return page, code
}

// mustChange resends a change until it is accepted, with a new request ID after a
// conflict.
func (f *fleet) mustChange(wanted change) encoder.AcceptedPage {
	f.t.Helper()
	var page encoder.AcceptedPage
	eventually(f.t, "class "+wanted.class+" is accepted", func() bool {
		accepted, code := f.sendChange(wanted)
		page = accepted
		if code == exitConflict {
			wanted.request = fmt.Sprintf("%s-%d", wanted.request, f.nextNumber())
		}
		return code == exitDone
	})
	return page
}

// status returns the output of the status command, and whether it succeeded.
func (f *fleet) status() (encoder.StatusPage, bool) {
	out, code := f.runCommand("status")
	var page encoder.StatusPage
	return page, code == exitDone && json.Unmarshal(out, &page) == nil
}
