package assembler

import (
	"context"
	"strings"

	"google.golang.org/grpc/metadata"

	"burdocklink/authenticator"
)

// bearer begins the value that carries a key.
const bearer = "Bearer "

// operatorOf returns a function that finds the operator of a call by the key
// in its metadata.
func operatorOf(keys *authenticator.Authenticator) func(context.Context) (string, error) {
	return func(ctx context.Context) (string, error) {
		identity, err := keys.Authenticate(keyOf(ctx))
		if err != nil {
			return "", err
		}
		if identity.Role != authenticator.RoleOperator {
			return "", &RoleError{Name: identity.Name}
		}
		return identity.Name, nil
	}
}

// keyOf returns the key of a call, or an empty string.
func keyOf(ctx context.Context) string {
	for _, value := range metadata.ValueFromIncomingContext(ctx, "authorization") {
		if key, found := strings.CutPrefix(value, bearer); found {
			return key
		}
	}
	return ""
}

// RoleError says that a key does not belong to an operator.
type RoleError struct{ Name string }

// Error names the key's owner.
func (e *RoleError) Error() string { return e.Name + " is no operator" }
