package encoder

import "encoding/json"

// KeysFile is the file of API keys.
type KeysFile struct {
	Keys []KeyLine `json:"keys"`
}

// KeyLine is one API key.
type KeyLine struct {
	// Name is the subscriber or the operator that the key belongs to.
	Name string `json:"name"`
	// Role is subscriber or operator.
	Role string `json:"role"`
	// Hash is the hash of the key, with the name of the hash before it.
	Hash string `json:"hash"`
}

// DecodeKeys reads a keys file.
func DecodeKeys(data []byte) (KeysFile, error) {
	var file KeysFile
	if err := json.Unmarshal(data, &file); err != nil {
		return KeysFile{}, &MalformedError{Subject: "keys file", Cause: err}
	}
	return file, nil
}

// EncodeKeys writes a keys file.
func EncodeKeys(file KeysFile) ([]byte, error) {
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return nil, &MalformedError{Subject: "keys file", Cause: err}
	}
	return append(data, '\n'), nil
}
