package assembler

import (
	"context"
	"strings"

	"google.golang.org/grpc/metadata"

	"burdocklink/authenticator"
)

// bearerPrefix precedes the key in the authorization metadata.
const bearerPrefix = "Bearer "

// operatorLookup returns a function that returns the name of the operator whose key is
// in the metadata of a call. Its error is that of Authenticate or a
// *NotOperatorError.
func operatorLookup(keys *authenticator.Authenticator) func(context.Context) (string, error) {
	return func(ctx context.Context) (string, error) {
		identity, err := keys.Authenticate(keyFromContext(ctx))
		if err != nil {
			return "", err
		}
		if identity.Role != authenticator.RoleOperator {
			return "", &NotOperatorError{Name: identity.Name}
		}
		return identity.Name, nil
	}
}

// keyFromContext returns the key of a call, or an empty string if there is none.
func keyFromContext(ctx context.Context) string {
	for _, value := range metadata.ValueFromIncomingContext(ctx, "authorization") {
		if key, found := strings.CutPrefix(value, bearerPrefix); found {
			return key
		}
	}
	return ""
}

// NotOperatorError reports that a key does not belong to an operator.
type NotOperatorError struct{ Name string }

// Error names the owner of the key.
func (e *NotOperatorError) Error() string { return e.Name + " is no operator" }
