package cmd

import (
	"time"

	"burdocklink/checker"
	"burdocklink/launcher"
	"burdocklink/registrar"
)

// Settings of all daemons.
var (
	checkSettings = checker.Definition{
		Name:   "check-settings",
		Usage:  "check the settings and exit",
		Switch: true,
	}
	drainTime = checker.Definition{
		Name:    "drain-time",
		Default: "60s",
		Usage:   "longest wait for work in flight after a signal to stop",
	}
)

func serve(call *invocation, drain time.Duration, services []registrar.Service) error {
	return launcher.Serve(call.ctx, call.log, drain, services)
}
