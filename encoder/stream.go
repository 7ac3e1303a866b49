package encoder

import (
	"burdocklink/encoder/wire"
	"burdocklink/router"
)

// maxStreamsPerCall is the number of streams that are decoded from one message.
const maxStreamsPerCall = 4096

// EncodeStreams encodes streams by the ID of the request that began them.
func EncodeStreams(streams map[string]router.Stream) []*wire.BegunStream {
	messages := make([]*wire.BegunStream, 0, len(streams))
	for id, stream := range streams {
		messages = append(messages, EncodeStream(id, stream))
	}
	return messages
}

// EncodeStream encodes one stream.
func EncodeStream(id string, stream router.Stream) *wire.BegunStream {
	return &wire.BegunStream{
		Id: id, Service: stream.Service, Software: stream.Origin.Software, Incarnation: stream.Origin.Incarnation,
	}
}

// DecodeStreams decodes streams by the ID of the request that began them.
func DecodeStreams(messages []*wire.BegunStream) map[string]router.Stream {
	streams := make(map[string]router.Stream, min(len(messages), maxStreamsPerCall))
	for _, message := range messages[:min(len(messages), maxStreamsPerCall)] {
		streams[message.GetId()] = DecodeStream(message)
	}
	return streams
}

// DecodeStream decodes one stream.
func DecodeStream(message *wire.BegunStream) router.Stream {
	return router.Stream{
		Service: message.GetService(),
		Origin:  router.Origin{Software: message.GetSoftware(), Incarnation: message.GetIncarnation()},
	}
}
