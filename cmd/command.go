package cmd

import (
	"context"
	"io"

	"go.uber.org/zap"

	"burdocklink/checker"
)

// command is a command of the program or a group of commands.
type command struct {
	name  string
	usage string
	// settings can be given as flags or environment variables.
	settings []checker.Definition
	// arguments are the names of required positional values.
	arguments []string
	// run is nil for a group.
	run      func(call *invocation) error
	children []command
}

// invocation holds the parsed command line and the environment of a command.
type invocation struct {
	ctx       context.Context
	out       io.Writer
	errOut    io.Writer
	log       *zap.Logger
	settings  *checker.Reader
	arguments map[string]string
}

// commands returns all commands in the order of the help.
func commands() []command {
	return []command{
		demoCommand(),
		entryCommand(),
		controlCommand(),
		classCommand(),
		statusCommand(),
		historyCommand(),
		lossesCommand(),
		checkCommand(),
		memberCommand(),
		standInCommand(),
		loadCommand(),
		keyCommand(),
		certificateCommand(),
		versionCommand(),
	}
}
