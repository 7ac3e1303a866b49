package cmd

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"burdocklink/authenticator"
	"burdocklink/checker"
)

// keysFileMode gives access to the owner only.
const keysFileMode = 0o600

var newKeysFile = checker.Definition{
	Name:    "keys",
	Default: "keys.json",
	Usage:   "keys file to add to; created if missing",
}

func keyCommand() command {
	return command{
		name:  "key",
		usage: "create keys of subscribers and operators",
		children: []command{
			{
				name:      "new",
				usage:     "add a key and print it; only its hash is stored",
				arguments: []string{"role", "name"},
				settings:  []checker.Definition{newKeysFile},
				run:       newKey,
			},
		},
	}
}

func newKey(call *invocation) error {
	path := call.settings.Required(newKeysFile.Name)
	if err := call.settings.Err(); err != nil {
		return err
	}
	role, err := authenticator.ParseRole(call.arguments["role"])
	if err != nil {
		return &UsageError{Cause: err}
	}
	key := authenticator.NewKey()
	identity := authenticator.Identity{Name: call.arguments["name"], Role: role}
	if err := addKey(path, identity, key); err != nil {
		return err
	}
	_, err = fmt.Fprintln(call.out, key)
	return err
}

// addKey adds a key to a file. The file is replaced atomically, so that readers
// never see a partial one.
func addKey(path string, identity authenticator.Identity, key string) error {
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &FileError{Path: path, Cause: err}
	}
	content, err = authenticator.Add(content, identity, key)
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	next := path + ".new"
	if err := os.WriteFile(next, content, keysFileMode); err != nil {
		return &FileError{Path: next, Cause: err}
	}
	if err := os.Rename(next, path); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

// FileError reports a file that could not be read or written.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }
