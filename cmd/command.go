package cmd

import (
	"context"
	"io"

	"go.uber.org/zap"

	"burdocklink/checker"
)

// command is one command of the program, or a group of them.
type command struct {
	name  string
	usage string
	// settings become flags and environment variables.
	settings []checker.Definition
	// arguments are the names of required positional values.
	arguments []string
	// run does the work; nil for a group.
	run      func(call *invocation) error
	children []command
}

// invocation is what a command runs with.
type invocation struct {
	ctx       context.Context
	out       io.Writer
	errOut    io.Writer
	log       *zap.Logger
	settings  *checker.Reader
	arguments map[string]string
}

// commands lists every command in the order of the help.
func commands() []command {
	return []command{
		demoCommand(),
		entryCommand(),
		controlCommand(),
		classCommand(),
		statusCommand(),
		historyCommand(),
		memberCommand(),
		standInCommand(),
		loadCommand(),
		keyCommand(),
		certificateCommand(),
		versionCommand(),
	}
}
