// Package cmd implements the commands of the program, one file each. A command
// reads its settings and calls the packages that do the work.
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
	// exitUsage means that the command line or the settings are invalid.
	exitUsage = 2
	// exitConflict means that a change was based on an outdated revision.
	exitConflict = 3
	// exitRefused means that a change or a key was not accepted.
	exitRefused = 4
	// exitNoAnswer means that the outcome is unknown.
	exitNoAnswer = 5
)

// Execute runs the command that the arguments name and returns its exit code.
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

// UsageError reports an invalid command line.
type UsageError struct{ Cause error }

// Error implements error.
func (e *UsageError) Error() string { return "command line: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// report prints an error, if any, and returns the exit code for it.
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
	var faulty *FaultyConfigurationError
	var unreadable *ConfigurationFileError
	switch {
	case errors.As(err, &faulty), errors.As(err, &unreadable):
		return exitRefused
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
