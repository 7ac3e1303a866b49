package encoder

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// marshal encodes a message deterministically.
func marshal(message proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// unmarshal decodes a message. It returns a *MalformedMessageError, or a
// *NewerVersionError if there are unknown fields at any level.
func unmarshal(data []byte, message proto.Message) error {
	if err := proto.Unmarshal(data, message); err != nil {
		return &MalformedMessageError{Message: nameOf(message), Cause: err}
	}
	return refuseUnknown(message.ProtoReflect())
}

func nameOf(message proto.Message) string {
	return string(message.ProtoReflect().Descriptor().Name())
}

func refuseUnknown(message protoreflect.Message) error {
	if len(message.GetUnknown()) > 0 {
		return &NewerVersionError{Message: string(message.Descriptor().Name())}
	}
	var refusal error
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		refusal = refuseUnknownIn(field, value)
		return refusal == nil
	})
	return refusal
}

func refuseUnknownIn(field protoreflect.FieldDescriptor, value protoreflect.Value) error {
	if field.Kind() != protoreflect.MessageKind {
		return nil
	}
	if !field.IsList() {
		return refuseUnknown(value.Message())
	}
	list := value.List()
	for i := range list.Len() {
		if err := refuseUnknown(list.Get(i).Message()); err != nil {
			return err
		}
	}
	return nil
}

// encodeTime returns Unix time in nanoseconds, zero for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}
