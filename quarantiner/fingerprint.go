package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 16

// Fingerprint identifies requests that repeat each other. The fields say what is repeated,
// such as the path, the caller and the body. The result is in hexadecimal and has no slash,
// unlike the names of prompt parts.
func Fingerprint(fields ...[]byte) string {
	hash := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		// writing to a hash never fails
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
