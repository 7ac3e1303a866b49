package encoder_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	"burdocklink/admitter"
	"burdocklink/encoder"
	"burdocklink/encoder/wire"
	"burdocklink/router"
)

// filler fills messages with random values of their fields' types.
type filler struct{ random *rand.Rand }

func (f filler) fill(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if f.random.IntN(3) == 0 {
			continue
		}
		switch {
		case field.IsMap():
		case field.IsList():
			list := message.Mutable(field).List()
			for range f.random.IntN(3) {
				list.Append(f.value(field, list.NewElement(), depth))
			}
		default:
			message.Set(field, f.value(field, message.NewField(field), depth))
		}
	}
}

func (f filler) value(field protoreflect.FieldDescriptor, empty protoreflect.Value, depth int) protoreflect.Value {
	number := f.number()
	switch field.Kind() {
	case protoreflect.MessageKind:
		if depth > 0 {
			f.fill(empty.Message(), depth-1)
		}
		return empty
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(number%2 == 0)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString([]string{"", "a", "b", "m1/a1"}[f.random.IntN(4)])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(number), byte(number >> 8)}[:f.random.IntN(3)])
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64([]float64{0, -1, math.NaN(), math.Inf(1), 1e300, 2.5}[f.random.IntN(6)])
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(int32(number)))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	default:
		return protoreflect.ValueOfInt64(number)
	}
}

func (f filler) number() int64 {
	return []int64{0, 1, 2, 7, -1, math.MaxInt32, math.MinInt64, math.MaxInt64}[f.random.IntN(8)]
}

// TestDecodingAnyMessageDoesNotPanic decodes random valid messages, intact and with
// one flipped bit. Decoding must return an error or values within their limits.
func TestDecodingAnyMessageDoesNotPanic(t *testing.T) {
	now := time.Now()
	demands := encoder.NewDemandDecoder()
	cases := map[string]struct {
		message proto.Message
		decode  func(data []byte, message proto.Message)
	}{
		"command":    {&wire.Command{}, func(data []byte, _ proto.Message) { _, _ = encoder.DecodeCommand(data) }},
		"applied":    {&wire.AppliedCommand{}, func(data []byte, _ proto.Message) { _, _ = encoder.DecodeApplied(data) }},
		"delta":      {&wire.CatalogDelta{}, func(data []byte, _ proto.Message) { _, _ = encoder.DecodeDelta(data) }},
		"entry":      {&wire.LogEntry{}, func(data []byte, _ proto.Message) { _, _ = encoder.DecodeEntry(data) }},
		"hard state": {&wire.LogHardState{}, func(data []byte, _ proto.Message) { _, _ = encoder.DecodeHardState(data) }},
		"snapshot":   {&wire.LogSnapshot{}, func(data []byte, _ proto.Message) { _, _ = encoder.DecodeSnapshot(data) }},
		"state":      {&wire.MachineState{}, func(data []byte, _ proto.Message) { _, _ = encoder.DecodeState(data) }},
		"envelope": {&wire.ReplicaEnvelope{}, func(_ []byte, m proto.Message) {
			_, _ = encoder.DecodeEnvelope(m.(*wire.ReplicaEnvelope))
		}},
		"entry report": {&wire.FollowRequest{}, func(_ []byte, m proto.Message) {
			_, _ = demands.Decode(m.(*wire.FollowRequest))
			encoder.DecodeLoads(m.(*wire.FollowRequest).GetLoads())
		}},
		"notes": {&wire.EntryNotes{}, func(_ []byte, m proto.Message) {
			encoder.DecodeLoads(m.(*wire.EntryNotes).GetLoads())
		}},
		"listing":  {&wire.Listing{}, func(_ []byte, m proto.Message) { encoder.DecodeListing(m.(*wire.Listing)) }},
		"holdings": {&wire.Holdings{}, func(_ []byte, m proto.Message) { encoder.DecodeHoldings(m.(*wire.Holdings).GetHoldings(), now) }},
		"reading":  {&wire.ReadingReply{}, func(_ []byte, m proto.Message) { encoder.DecodeReading(m.(*wire.ReadingReply), now) }},
		"status":   {&wire.StatusReply{}, func(_ []byte, m proto.Message) { encoder.DecodeStatus(m.(*wire.StatusReply)) }},
		"limits": {&wire.Limits{}, func(_ []byte, m proto.Message) {
			for _, limit := range encoder.DecodeLimits(m.(*wire.Limits), now) {
				assert.Assert(t, !limit.At.After(now), "observed in the future")
				assert.Assert(t, limit.PerSecond >= 0 && limit.PerSecond <= 1e6, "%v per second", limit.PerSecond)
			}
		}},
		"reservation request": {&wire.ReserveRequest{}, func(_ []byte, m proto.Message) {
			for _, request := range encoder.DecodeReservationRequests(m.(*wire.ReserveRequest), now) {
				assert.Assert(t, !request.At.After(now), "observed in the future")
				assert.Assert(t, request.Wanted >= 0 && request.Wanted <= 64, "%d wanted", request.Wanted)
			}
		}},
		"quota wants": {&wire.ChargeRequest{}, func(_ []byte, m proto.Message) {
			for _, want := range encoder.DecodeQuotaWants(m.(*wire.ChargeRequest)) {
				assert.Assert(t, want.Spare >= 0 && want.Spare <= 1e12, "%v spare", want.Spare)
				for _, cost := range want.Costs {
					assert.Assert(t, cost >= 0 && cost <= 1e12, "a request costs %v", cost)
				}
			}
		}},
		"quota grants": {&wire.ChargeReply{}, func(_ []byte, m proto.Message) {
			for _, grant := range encoder.DecodeQuotaGrants(m.(*wire.ChargeReply).GetGrants(), now, now) {
				assert.Assert(t, grant.Spare >= 0 && grant.Covered >= 0 && grant.Covered <= 256, "%+v", grant)
				assert.Assert(t, !grant.DueAt.Before(now) && grant.ExpiresAt.Before(now.Add(time.Hour)), "%+v", grant)
			}
		}},
		"admission": {&wire.AdmitMessage{}, func(_ []byte, m proto.Message) {
			message := m.(*wire.AdmitMessage)
			request := encoder.DecodeAdmission(message.GetRequest(), now)
			assert.Assert(t, !request.Arrived.After(now), "arrived in the future")
			assert.Assert(t, request.Deadline.Before(now.Add(time.Hour)), "%s", request.Deadline)
			assert.Assert(t, request.Route.PromptTokens >= 0 && len(request.Route.Prefixes) <= 64)
			first, result := encoder.DecodeResult(message.GetResult(), now)
			assert.Assert(t, !first.After(now) && result.Tokens >= 0)
			assert.Assert(t, result.Outcome >= router.OutcomeFinished && result.Outcome <= router.OutcomeCancelled)
		}},
		"admission reply": {&wire.AdmitReply{}, func(_ []byte, m proto.Message) {
			reply := m.(*wire.AdmitReply)
			choice := encoder.DecodeGrant(reply.GetGrant(), now, now)
			assert.Assert(t, choice.PermitExpiresAt.Before(now.Add(time.Hour)), "%s", choice.PermitExpiresAt)
			assert.Assert(t, encoder.DecodeRefusal(reply.GetRefusal(), &admitter.Request{}, now) != nil)
		}},
		"reservation reply": {&wire.ReserveReply{}, func(_ []byte, m proto.Message) {
			for _, reservation := range encoder.DecodeReservations(m.(*wire.ReserveReply).GetReservations(), now, now) {
				for _, permit := range reservation.Permits {
					assert.Assert(t, !permit.From.Before(now) && permit.Until.Before(now.Add(time.Hour)), "%v", permit)
				}
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := filler{random: rand.New(rand.NewPCG(19, 1))}
			for range 3000 {
				message := c.message.ProtoReflect().New().Interface()
				f.fill(message.ProtoReflect(), 4)
				data, err := proto.Marshal(message)
				assert.NilError(t, err)
				c.decode(data, message)
				if len(data) > 0 {
					data[f.random.IntN(len(data))] ^= byte(1 << f.random.IntN(8))
					damaged := c.message.ProtoReflect().New().Interface()
					if proto.Unmarshal(data, damaged) == nil {
						c.decode(data, damaged)
					}
				}
			}
		})
	}
}
