package cmd

import (
	"burdocklink/authenticator"
	"burdocklink/checker"
)

var keysFile = checker.Definition{
	Name:  "keys",
	Usage: "file of the keys of subscribers and operators, as `key new` writes it",
}

// readKeys opens the keys file. It returns nil on a fault, which is reported by
// settings.Err.
func readKeys(call *invocation) *authenticator.Authenticator {
	if call.settings.Required(keysFile.Name) == "" {
		return nil
	}
	path := call.settings.Text(keysFile.Name)
	keys, err := authenticator.New(authenticator.Settings{File: path}, call.log)
	if err != nil {
		call.settings.AddFault(keysFile.Name, err.Error())
		return nil
	}
	return keys
}
