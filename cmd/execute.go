// Package cmd holds the commands of the program, one file each. Each command
// is thin: it reads settings and calls the packages that do the work.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"burdocklink/administrator"
	"burdocklink/checker"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage is for a command line or settings that can't be used.
	exitUsage = 2
	// exitConflict is for a change that lost against another one.
	exitConflict = 3
	// exitRefused is for a change or a key that is not accepted.
	exitRefused = 4
	// exitNoAnswer is for a command whose outcome is not known.
	exitNoAnswer = 5
)

// Execute runs the command that the arguments name and returns the exit code.
func Execute(arguments []string) int {
	return execute(context.Background(), arguments, os.Stdout, os.Stderr)
}

func execute(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	root := newRoot()
	if err := root.parser.ParseArgs(arguments); err != nil {
		return report(errOut, &UsageError{Cause: err})
	}
	chosen := root.selected()
	if chosen == nil || chosen.command.run == nil {
		root.parser.ShowHelp()
		return exitUsage
	}
	call, err := chosen.invocation(ctx, out, errOut)
	if err != nil {
		return report(errOut, err)
	}
	return report(errOut, chosen.command.run(call))
}

// newRoot returns the program with all commands attached.
func newRoot() *binding {
	parser := flaggy.NewParser("burdocklink")
	parser.Description = "Serves many models and adapters on fewer accelerators."
	parser.ShowVersionWithVersionFlag = false
	root := &binding{parser: parser, subcommand: &parser.Subcommand}
	for _, child := range commands() {
		root.attach(child)
	}
	return root
}

// UsageError says that the command line can't be read.
type UsageError struct{ Cause error }

// Error describes the fault.
func (e *UsageError) Error() string { return "command line: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// report prints an error and returns the exit code of its type.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	if _, failed := fmt.Fprintln(errOut, "burdocklink: "+err.Error()); failed != nil {
		return exitFailed
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *UsageError
	var settings *checker.SettingsError
	var conflict *administrator.ConflictError
	var invalid *administrator.InvalidError
	var refused *administrator.RefusedError
	var noAnswer *administrator.NoAnswerError
	switch {
	case errors.As(err, &usage), errors.As(err, &settings):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &invalid), errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &noAnswer):
		return exitNoAnswer
	default:
		return exitFailed
	}
}
