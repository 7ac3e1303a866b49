package cmd

import (
	"os/signal"
	"syscall"

	"burdocklink/checker"
	"burdocklink/demonstrator"
)

var onceSwitch = checker.Definition{
	Name:   "once",
	Usage:  "send a few requests of every kind, print the answers and stop",
	Switch: true,
}

func demoCommand() command {
	return command{
		name:     "demo",
		usage:    "run the whole system in one process over loopback",
		settings: []checker.Definition{onceSwitch},
		run:      runDemo,
	}
}

func runDemo(call *invocation) error {
	once := call.settings.Switch(onceSwitch.Name)
	ctx, cancel := signal.NotifyContext(call.ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return demonstrator.Run(ctx, call.out, call.log, once)
}
