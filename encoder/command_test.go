package encoder

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"burdocklink/applier"
	"burdocklink/cataloger"
	"burdocklink/claimer"
	"burdocklink/classifier"
	"burdocklink/orderer"
)

var noon = time.Date(2030, 1, 2, 12, 0, 0, 5, time.UTC)

func allChanges() []cataloger.Change {
	return []cataloger.Change{
		cataloger.PutClass{Class: classifier.Class{
			Name:            "registry",
			Target:          classifier.Target{FirstToken: 1, BetweenTokens: 2, Whole: 3},
			RepeatForbidden: true,
		}},
		cataloger.RemoveClass{Name: "draft"},
		cataloger.PutModel{Model: cataloger.Model{Name: "m", Service: "s", MemoryBytes: 4, Version: "1"}},
		cataloger.RemoveModel{Name: "old"},
		cataloger.PutAdapter{Adapter: cataloger.Adapter{Name: "a", Model: "m", MemoryBytes: 5, Version: "2"}},
		cataloger.RemoveAdapter{Name: "b"},
		cataloger.PutUpstream{Upstream: cataloger.Upstream{
			Name: "u", Incarnation: "i", Address: "127.0.0.1:1", AvailabilityZone: "bp-a", Service: "s",
			Kind: cataloger.EngineUpstream, State: cataloger.UpstreamLive, MemoryBytes: 6, Accelerators: 7,
			Slots: 8, ChecksFence: true, Software: "v1",
		}},
		cataloger.RemoveUpstream{Name: "w"},
		cataloger.PutRelease{Release: cataloger.Release{
			ReleaseKey: cataloger.ReleaseKey{Service: "s", Software: "v1"}, GoneAt: noon,
		}},
		cataloger.RemoveRelease{ReleaseKey: cataloger.ReleaseKey{Service: "s", Software: "v0"}},
		cataloger.PutPlacement{Placement: cataloger.Placement{
			Upstream: "u", Incarnation: "i", Models: []string{"m"}, Adapters: []string{"a"}, Role: cataloger.RoleDecode,
		}},
	}
}

func submit(work orderer.Work) applier.Command {
	return applier.Order{Event: orderer.Submit{Token: "t", Order: orderer.Order{
		ID: 1, Upstream: "u", Incarnation: "i", Work: work, Fence: 1, NotAfter: noon,
	}}}
}

func TestCommandRoundTrip(t *testing.T) {
	key := claimer.Key{Subscriber: "carbono", Name: "retire-7"}
	answer := claimer.Answer{Status: 201, Header: map[string][]string{"A": {"1", "2"}, "B": {"3"}}, Body: []byte("done")}
	tests := map[string]applier.Command{
		"open": applier.Claim{Event: claimer.Open{
			Key: key, Digest: [32]byte{1}, Attempt: "x", Entry: "e", Deadline: noon, Issued: noon.Add(-time.Second),
		}},
		"finish":         applier.Claim{Event: claimer.Finish{Key: key, Attempt: "x", Answer: answer}},
		"release":        applier.Claim{Event: claimer.Release{Key: key, Attempt: "x"}},
		"mark unknown":   applier.Claim{Event: claimer.MarkUnknown{Key: key, Attempt: "x"}},
		"expire":         applier.Claim{Event: claimer.Expire{}},
		"load model":     submit(orderer.LoadModel{Model: "m", Version: "1", MemoryBytes: 9}),
		"unload model":   submit(orderer.UnloadModel{Model: "m"}),
		"load adapter":   submit(orderer.LoadAdapter{Adapter: "a", Model: "m", Version: "1", MemoryBytes: 9}),
		"unload adapter": submit(orderer.UnloadAdapter{Adapter: "a"}),
		"set role":       submit(orderer.SetRole{Role: cataloger.RolePrefill}),
		"settle":         applier.Order{Event: orderer.Settle{ID: 3, Outcome: orderer.OutcomeRefused}},
		"observe": applier.Order{Event: orderer.Observe{
			Placement: cataloger.Placement{Upstream: "u", Incarnation: "i", Models: []string{"m"}}, LastOrder: 4, Sequence: 5, Taken: noon, UsedBytes: 6,
		}},
		"forget": applier.Order{Event: orderer.Forget{Upstream: "u", Incarnation: "i"}},
		"limit": applier.Order{Event: orderer.Limit{Limits: orderer.StoreLimits{
			LoadsPerSecond: 1.4, LoadsAtOnce: 11, AdaptersInTransit: 90,
		}}},
		"change": applier.Change{Operator: "o", RequestID: "1", BaseRevision: applier.AnyRevision, Changes: allChanges()},
		"watch":  applier.Watch{Term: 2, Sequence: 3, Changes: allChanges()},
		"noop":   applier.Noop{},
	}
	for name, command := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeCommand(command)
			assert.NilError(t, err)
			read, err := DecodeCommand(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, read, command)
		})
	}
}

func TestResultRoundTrip(t *testing.T) {
	order := orderer.Order{ID: 1, Upstream: "u", Incarnation: "i", Work: orderer.UnloadModel{Model: "m"}, Fence: 1, NotAfter: noon}
	tests := map[string]applier.Result{
		"granted":          applier.ClaimResult{Result: claimer.Granted{Deadline: noon}},
		"pending":          applier.ClaimResult{Result: claimer.Pending{Deadline: noon}},
		"answered":         applier.ClaimResult{Result: claimer.Answered{Answer: claimer.Answer{Status: 200, Body: []byte("b")}}},
		"unknown":          applier.ClaimResult{Result: claimer.Unknown{}},
		"answer dropped":   applier.ClaimResult{Result: claimer.AnswerDropped{}},
		"mismatch":         applier.ClaimResult{Result: claimer.Mismatch{}},
		"too old":          applier.ClaimResult{Result: claimer.TooOld{Horizon: noon}},
		"claim recorded":   applier.ClaimResult{Result: claimer.Recorded{}},
		"stale":            applier.ClaimResult{Result: claimer.Stale{}},
		"claim invalid":    applier.ClaimResult{Result: claimer.Invalid{Reason: "r"}},
		"overdue":          applier.ClaimResult{Result: claimer.Overdue{}},
		"full":             applier.ClaimResult{Result: claimer.Full{Retry: noon}},
		"committed":        applier.OrderResult{Result: orderer.Committed{Order: order}},
		"recorded":         applier.OrderResult{Result: orderer.Recorded{Placement: cataloger.Placement{Upstream: "u"}}},
		"no memory":        applier.OrderResult{Result: orderer.NoMemory{FreeBytes: 1, NeedBytes: 2}},
		"busy":             applier.OrderResult{Result: orderer.Busy{Unsettled: 4}},
		"last copy":        applier.OrderResult{Result: orderer.LastCopy{Name: "m"}},
		"store full":       applier.OrderResult{Result: orderer.StoreFull{Retry: noon}},
		"unknown upstream": applier.OrderResult{Result: orderer.UnknownUpstream{Upstream: "u"}},
		"unknown order":    applier.OrderResult{Result: orderer.UnknownOrder{ID: 9}},
		"unsuitable":       applier.OrderResult{Result: orderer.Unsuitable{Reason: "r"}},
		"accepted":         applier.Accepted{Revision: 7},
		"conflict":         applier.Conflict{Current: 8},
		"invalid":          applier.Invalid{Reason: "r"},
		"nothing":          applier.Nothing{},
	}
	for name, result := range tests {
		t.Run(name, func(t *testing.T) {
			applied := applier.Applied{Result: result, Delta: cataloger.Delta{From: 1, To: 2, Changes: allChanges()}}
			data, err := EncodeApplied(applied)
			assert.NilError(t, err)
			read, err := DecodeApplied(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, read, applied)
		})
	}
}

// TestNewerVersionIsRefused appends unknown fields at the top level and in nested
// messages.
func TestNewerVersionIsRefused(t *testing.T) {
	unknown := protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1)
	noop, err := EncodeCommand(applier.Noop{})
	assert.NilError(t, err)
	inner := protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), unknown)
	tests := map[string][]byte{
		"unknown field":          append(noop, unknown...),
		"unknown inner field":    inner,
		"unknown command":        unknown,
		"no command":             nil,
		"unknown claim event":    protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), nil),
		"unknown catalog change": protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), []byte{10, 0}),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeCommand(data)
			var refusal *NewerVersionError
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
		})
	}
	_, err = DecodeCommand([]byte{0xff})
	var malformed *MalformedMessageError
	assert.Assert(t, errors.As(err, &malformed), "%v", err)
}
