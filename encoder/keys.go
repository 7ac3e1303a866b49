package encoder

import "encoding/json"

// KeysFile is the content of the API keys file.
type KeysFile struct {
	Keys []KeyLine `json:"keys"`
}

// KeyLine is one API key.
type KeyLine struct {
	// Name is the subscriber or the operator that the key belongs to.
	Name string `json:"name"`
	// Role is subscriber or operator.
	Role string `json:"role"`
	// Hash is the hash of the key, prefixed with the name of the hash function.
	Hash string `json:"hash"`
}

// DecodeKeys decodes a keys file. The error is a *MalformedError.
func DecodeKeys(data []byte) (KeysFile, error) {
	var file KeysFile
	if err := json.Unmarshal(data, &file); err != nil {
		return KeysFile{}, &MalformedError{Subject: "keys file", Cause: err}
	}
	return file, nil
}

// EncodeKeys encodes a keys file as indented JSON.
func EncodeKeys(file KeysFile) ([]byte, error) {
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return nil, &MalformedError{Subject: "keys file", Cause: err}
	}
	return append(data, '\n'), nil
}
