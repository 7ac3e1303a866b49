// Command burdocklink serves many models and adapters on fewer accelerators.
package main

import (
	"os"

	"burdocklink/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
