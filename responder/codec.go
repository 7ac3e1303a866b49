package responder

import (
	"burdocklink/conductor"
	"burdocklink/encoder"
)

// Codec is how commands and states are stored and sent.
func Codec() conductor.Codec {
	return conductor.Codec{
		EncodeCommand: encoder.EncodeCommand,
		DecodeCommand: encoder.DecodeCommand,
		EncodeState:   encoder.EncodeStateSnapshot,
		DecodeState:   encoder.DecodeState,
	}
}
