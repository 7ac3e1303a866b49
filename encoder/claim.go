package encoder

import (
	"maps"
	"slices"

	"burdocklink/claimer"
	"burdocklink/encoder/wire"
)

func encodeKey(key claimer.Key) *wire.ClaimKey {
	return &wire.ClaimKey{Subscriber: key.Subscriber, Name: key.Name}
}

func decodeKey(message *wire.ClaimKey) claimer.Key {
	return claimer.Key{Subscriber: message.GetSubscriber(), Name: message.GetName()}
}

func encodeAnswer(answer claimer.Answer) *wire.StoredAnswer {
	message := &wire.StoredAnswer{Status: int32(answer.Status), Body: answer.Body}
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		message.Header = append(message.Header, &wire.HeaderField{Name: name, Values: answer.Header[name]})
	}
	return message
}

func decodeAnswer(message *wire.StoredAnswer) claimer.Answer {
	answer := claimer.Answer{Status: int(message.GetStatus()), Body: message.GetBody()}
	for _, field := range message.GetHeader() {
		if answer.Header == nil {
			answer.Header = map[string][]string{}
		}
		answer.Header[field.GetName()] = field.GetValues()
	}
	return answer
}

// decodeDigest returns a *NewerVersionError if the digest does not have 32 bytes.
func decodeDigest(data []byte) ([32]byte, error) {
	var digest [32]byte
	if len(data) != len(digest) {
		return digest, &NewerVersionError{Message: "claim digest"}
	}
	copy(digest[:], data)
	return digest, nil
}

func encodeClaimEvent(event claimer.Event) (*wire.ClaimEvent, error) {
	message := &wire.ClaimEvent{}
	switch event := event.(type) {
	case claimer.Open:
		message.Event = &wire.ClaimEvent_Open{Open: encodeOpen(event)}
	case claimer.Finish:
		message.Event = &wire.ClaimEvent_Finish{Finish: &wire.FinishClaim{
			Key:     encodeKey(event.Key),
			Attempt: event.Attempt,
			Answer:  encodeAnswer(event.Answer),
		}}
	case claimer.Release:
		message.Event = &wire.ClaimEvent_Release{Release: encodeAttempt(event.Key, event.Attempt)}
	case claimer.MarkUnknown:
		message.Event = &wire.ClaimEvent_Lose{Lose: encodeAttempt(event.Key, event.Attempt)}
	case claimer.Expire:
		message.Event = &wire.ClaimEvent_Expire{Expire: &wire.Empty{}}
	default:
		return nil, &UnsupportedTypeError{Message: "claim event"}
	}
	return message, nil
}

func encodeOpen(event claimer.Open) *wire.OpenClaim {
	return &wire.OpenClaim{
		Key:      encodeKey(event.Key),
		Digest:   event.Digest[:],
		Attempt:  event.Attempt,
		Entry:    event.Entry,
		Deadline: encodeTime(event.Deadline),
		Issued:   encodeTime(event.Issued),
	}
}

func encodeAttempt(key claimer.Key, attempt string) *wire.AttemptOfClaim {
	return &wire.AttemptOfClaim{Key: encodeKey(key), Attempt: attempt}
}

func decodeClaimEvent(message *wire.ClaimEvent) (claimer.Event, error) {
	switch event := message.GetEvent().(type) {
	case *wire.ClaimEvent_Open:
		return decodeOpen(event.Open)
	case *wire.ClaimEvent_Finish:
		return claimer.Finish{
			Key:     decodeKey(event.Finish.GetKey()),
			Attempt: event.Finish.GetAttempt(),
			Answer:  decodeAnswer(event.Finish.GetAnswer()),
		}, nil
	case *wire.ClaimEvent_Release:
		return claimer.Release{Key: decodeKey(event.Release.GetKey()), Attempt: event.Release.GetAttempt()}, nil
	case *wire.ClaimEvent_Lose:
		return claimer.MarkUnknown{Key: decodeKey(event.Lose.GetKey()), Attempt: event.Lose.GetAttempt()}, nil
	case *wire.ClaimEvent_Expire:
		return claimer.Expire{}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}

func decodeOpen(message *wire.OpenClaim) (claimer.Event, error) {
	digest, err := decodeDigest(message.GetDigest())
	if err != nil {
		return nil, err
	}
	return claimer.Open{
		Key:      decodeKey(message.GetKey()),
		Digest:   digest,
		Attempt:  message.GetAttempt(),
		Entry:    message.GetEntry(),
		Deadline: decodeTime(message.GetDeadline()),
		Issued:   decodeTime(message.GetIssued()),
	}, nil
}

func encodeClaimResult(result claimer.Result) (*wire.ClaimOutcome, error) {
	message := &wire.ClaimOutcome{}
	switch result := result.(type) {
	case claimer.Granted:
		message.Outcome = &wire.ClaimOutcome_Granted{Granted: encodeTime(result.Deadline)}
	case claimer.Pending:
		message.Outcome = &wire.ClaimOutcome_Pending{Pending: encodeTime(result.Deadline)}
	case claimer.Answered:
		message.Outcome = &wire.ClaimOutcome_Answered{Answered: encodeAnswer(result.Answer)}
	case claimer.Unknown:
		message.Outcome = &wire.ClaimOutcome_Unknown{Unknown: &wire.Empty{}}
	case claimer.AnswerDropped:
		message.Outcome = &wire.ClaimOutcome_AnswerDropped{AnswerDropped: &wire.Empty{}}
	case claimer.Mismatch:
		message.Outcome = &wire.ClaimOutcome_Mismatch{Mismatch: &wire.Empty{}}
	case claimer.TooOld:
		message.Outcome = &wire.ClaimOutcome_TooOld{TooOld: encodeTime(result.Horizon)}
	case claimer.Recorded:
		message.Outcome = &wire.ClaimOutcome_Recorded{Recorded: &wire.Empty{}}
	case claimer.Stale:
		message.Outcome = &wire.ClaimOutcome_Stale{Stale: &wire.Empty{}}
	case claimer.Invalid:
		message.Outcome = &wire.ClaimOutcome_Invalid{Invalid: result.Reason}
	case claimer.Overdue:
		message.Outcome = &wire.ClaimOutcome_Overdue{Overdue: &wire.Empty{}}
	case claimer.Full:
		message.Outcome = &wire.ClaimOutcome_Full{Full: encodeTime(result.Retry)}
	default:
		return nil, &UnsupportedTypeError{Message: "claim result"}
	}
	return message, nil
}

func decodeClaimResult(message *wire.ClaimOutcome) (claimer.Result, error) {
	switch result := message.GetOutcome().(type) {
	case *wire.ClaimOutcome_Granted:
		return claimer.Granted{Deadline: decodeTime(result.Granted)}, nil
	case *wire.ClaimOutcome_Pending:
		return claimer.Pending{Deadline: decodeTime(result.Pending)}, nil
	case *wire.ClaimOutcome_Answered:
		return claimer.Answered{Answer: decodeAnswer(result.Answered)}, nil
	case *wire.ClaimOutcome_Unknown:
		return claimer.Unknown{}, nil
	case *wire.ClaimOutcome_AnswerDropped:
		return claimer.AnswerDropped{}, nil
	case *wire.ClaimOutcome_Mismatch:
		return claimer.Mismatch{}, nil
	case *wire.ClaimOutcome_TooOld:
		return claimer.TooOld{Horizon: decodeTime(result.TooOld)}, nil
	case *wire.ClaimOutcome_Recorded:
		return claimer.Recorded{}, nil
	case *wire.ClaimOutcome_Stale:
		return claimer.Stale{}, nil
	case *wire.ClaimOutcome_Invalid:
		return claimer.Invalid{Reason: result.Invalid}, nil
	case *wire.ClaimOutcome_Overdue:
		return claimer.Overdue{}, nil
	case *wire.ClaimOutcome_Full:
		return claimer.Full{Retry: decodeTime(result.Full)}, nil
	default:
		return nil, &NewerVersionError{Message: nameOf(message)}
	}
}
