package authenticator

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"burdocklink/encoder"
	"burdocklink/verifier"
)

// Role determines what the owner of a key may do.
type Role int

const (
	// RoleSubscriber may send requests.
	RoleSubscriber Role = iota + 1
	// RoleOperator may change and inspect the system and read its metrics.
	RoleOperator
)

// Words for roles in the keys file.
const (
	wordSubscriber = "subscriber"
	wordOperator   = "operator"
)

// String returns the role's word in the keys file.
func (r Role) String() string {
	switch r {
	case RoleSubscriber:
		return wordSubscriber
	case RoleOperator:
		return wordOperator
	default:
		return "none"
	}
}

// ParseRole returns the role of a word. The error is a *UnknownRoleError.
func ParseRole(word string) (Role, error) {
	switch word {
	case wordSubscriber:
		return RoleSubscriber, nil
	case wordOperator:
		return RoleOperator, nil
	default:
		return 0, &UnknownRoleError{Word: word}
	}
}

// Identity is the owner of a key.
type Identity struct {
	Name string
	Role Role
}

const (
	hashPrefix = "sha256:"
	keyPrefix  = "bl-"
	keyBytes   = 32
)

// NewKey returns a random key. Only its hash is stored.
func NewKey() string {
	var secret [keyBytes]byte
	_, _ = rand.Read(secret[:])
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
}

// Hash returns the hash of a key as the keys file stores it.
func Hash(key string) string {
	sum := verifier.Sum(key)
	return hashPrefix + hex.EncodeToString(sum[:])
}

// Add returns the content of a keys file with one key added. Empty content means
// that the file does not exist yet.
func Add(content []byte, identity Identity, key string) ([]byte, error) {
	var file encoder.KeysFile
	if len(content) > 0 {
		if _, err := parseKeys(content); err != nil {
			return nil, err
		}
		var err error
		if file, err = encoder.DecodeKeys(content); err != nil {
			return nil, err
		}
	}
	file.Keys = append(file.Keys, encoder.KeyLine{
		Name: identity.Name,
		Role: identity.Role.String(),
		Hash: Hash(key),
	})
	written, err := encoder.EncodeKeys(file)
	if err != nil {
		return nil, err
	}
	if _, err := parseKeys(written); err != nil {
		return nil, err
	}
	return written, nil
}

func parseHash(word string) (verifier.Digest, error) {
	var sum verifier.Digest
	text, ok := strings.CutPrefix(word, hashPrefix)
	if !ok {
		return verifier.Digest{}, &MalformedHashError{}
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(sum) {
		return verifier.Digest{}, &MalformedHashError{}
	}
	copy(sum[:], raw)
	return sum, nil
}
