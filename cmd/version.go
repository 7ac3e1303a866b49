package cmd

import (
	"fmt"
	"runtime/debug"
)

func versionCommand() command {
	return command{
		name:  "version",
		usage: "print the version of the program",
		run:   printVersion,
	}
}

func printVersion(call *invocation) error {
	_, err := fmt.Fprintln(call.out, programVersion())
	return err
}

// programVersion returns the versions of the module and of Go from the build
// info.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "burdocklink (unknown build)"
	}
	return "burdocklink " + info.Main.Version + " " + info.GoVersion
}
