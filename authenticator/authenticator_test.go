package authenticator_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"burdocklink/authenticator"
)

func write(t *testing.T, path string, content []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, content, 0o600))
}

func open(t *testing.T, content []byte) (*authenticator.Authenticator, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys.json")
	write(t, path, content)
	keys, err := authenticator.New(authenticator.Settings{File: path, ReloadInterval: time.Millisecond}, zap.NewNop())
	assert.NilError(t, err)
	return keys, path
}

func ExampleAdd() {
	content, _ := authenticator.Add(nil, authenticator.Identity{
		Name: "cukorvirag",
		Role: authenticator.RoleSubscriber,
	}, "secret")
	fmt.Print(string(content))
	// Output:
	// {
	//   "keys": [
	//     {
	//       "name": "cukorvirag",
	//       "role": "subscriber",
	//       "hash": "sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	//     }
	//   ]
	// }
}

func TestAuthenticateReturnsTheOwner(t *testing.T) {
	key, other := authenticator.NewKey(), authenticator.NewKey()
	subscriber := authenticator.Identity{Name: "carbono", Role: authenticator.RoleSubscriber}
	content, err := authenticator.Add(nil, subscriber, key)
	assert.NilError(t, err)
	keys, _ := open(t, content)

	owner, err := keys.Authenticate(key)
	assert.NilError(t, err)
	assert.Equal(t, owner, subscriber)
	_, err = keys.Authenticate(other)
	assert.ErrorType(t, err, &authenticator.UnknownKeyError{})
	_, err = keys.Authenticate("")
	assert.ErrorType(t, err, &authenticator.MissingKeyError{})
	_, err = keys.Authenticate(authenticator.Hash(key))
	assert.ErrorType(t, err, &authenticator.UnknownKeyError{})
}

func TestReloadAppliesOnlyValidFiles(t *testing.T) {
	first, second := authenticator.NewKey(), authenticator.NewKey()
	operator := authenticator.Identity{Name: "ops", Role: authenticator.RoleOperator}
	content, err := authenticator.Add(nil, operator, first)
	assert.NilError(t, err)
	keys, path := open(t, content)
	assert.NilError(t, keys.Start(t.Context(), nil))
	t.Cleanup(func() { assert.NilError(t, keys.Stop(time.Now())) })

	write(t, path, []byte("{"))
	assert.Assert(t, keys.Reload() != nil)
	_, err = keys.Authenticate(first)
	assert.NilError(t, err)

	content, err = authenticator.Add(nil, operator, second)
	assert.NilError(t, err)
	write(t, path, content)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, newErr := keys.Authenticate(second)
		_, oldErr := keys.Authenticate(first)
		if newErr == nil && oldErr != nil {
			return poll.Success()
		}
		return poll.Continue("not read yet")
	}, poll.WithTimeout(20*time.Second))
}

func TestNewReportsTheFaultyKey(t *testing.T) {
	hash := authenticator.Hash("k")
	cases := map[string]struct{ content, want string }{
		"not JSON":      {content: "keys", want: "malformed keys file"},
		"no name":       {content: `{"keys":[{"role":"operator","hash":"` + hash + `"}]}`, want: "key 1: the name is empty"},
		"unknown role":  {content: `{"keys":[{"name":"a","role":"root","hash":"` + hash + `"}]}`, want: `key 1: unknown role "root"`},
		"plain key":     {content: `{"keys":[{"name":"a","role":"operator","hash":"k"}]}`, want: "key 1: the hash is not sha256: and 64 hex digits"},
		"duplicate key": {content: `{"keys":[{"name":"a","role":"operator","hash":"` + hash + `"},{"name":"b","role":"operator","hash":"` + hash + `"}]}`, want: "key 2: the key stands twice"},
		"short hash":    {content: `{"keys":[{"name":"a","role":"operator","hash":"sha256:00"}]}`, want: "key 1: the hash is not sha256: and 64 hex digits"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys.json")
			write(t, path, []byte(c.content))
			_, err := authenticator.New(authenticator.Settings{File: path}, zap.NewNop())
			assert.ErrorContains(t, err, c.want)
		})
	}
}
