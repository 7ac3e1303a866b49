package responder

import (
	"burdocklink/conductor"
	"burdocklink/encoder"
)

// Codec returns the codec of the replicated commands and states.
func Codec() conductor.Codec {
	return conductor.Codec{
		EncodeCommand: encoder.EncodeCommand,
		DecodeCommand: encoder.DecodeCommand,
		EncodeState:   encoder.EncodeStateSnapshot,
		DecodeState:   encoder.DecodeState,
	}
}
