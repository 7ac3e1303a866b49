package encoder

import (
	"math"
	"time"

	"burdocklink/encoder/wire"
	"burdocklink/quarantiner"
)

// maxCrashesPerNote is the number of crashes that are decoded from one message.
const maxCrashesPerNote = 256

// EncodeCrashes encodes crashes with their age.
func EncodeCrashes(crashes []quarantiner.Crash, now time.Time) []*wire.PromptCrash {
	messages := make([]*wire.PromptCrash, 0, len(crashes))
	for _, crash := range crashes {
		messages = append(messages, &wire.PromptCrash{
			Upstream:    crash.Upstream,
			Fingerprint: crash.Fingerprint,
			Parts:       crash.Parts,
			Harmless:    crash.Harmless,
			AgeMs:       now.Sub(crash.At).Milliseconds(),

			RepeatedSend: crash.Repeated,
		})
	}
	return messages
}

// DecodeCrashes decodes crashes. Those of the future count as of now.
func DecodeCrashes(messages []*wire.PromptCrash, now time.Time) []quarantiner.Crash {
	crashes := make([]quarantiner.Crash, 0, len(messages))
	for _, message := range messages[:min(len(messages), maxCrashesPerNote)] {
		crashes = append(crashes, quarantiner.Crash{
			Upstream:    message.GetUpstream(),
			Fingerprint: message.GetFingerprint(),
			Parts:       message.GetParts(),
			Harmless:    message.GetHarmless(),
			Repeated:    message.GetRepeatedSend(),
			At:          crashTime(message.GetAgeMs(), now),
		})
	}
	return crashes
}

// maxCrashAge bounds the age of a crash in a message. Crashes of that age no longer
// count.
const maxCrashAge = 24 * time.Hour

// EncodeRosters encodes rosters with their age.
func EncodeRosters(rosters []quarantiner.Roster, now time.Time) []*wire.CrashRoster {
	messages := make([]*wire.CrashRoster, 0, len(rosters))
	for _, roster := range rosters {
		message := &wire.CrashRoster{Upstream: roster.Upstream, AgeMs: now.Sub(roster.At).Milliseconds()}
		for _, suspect := range roster.Suspects {
			message.Suspects = append(message.Suspects, suspect.ID)
			message.Events = append(message.Events, encodeEvents(suspect.Events))
			message.Outlived = append(message.Outlived, encodeEvents(suspect.Outlived))
		}
		messages = append(messages, message)
	}
	return messages
}

func encodeEvents(events int) uint32 { return uint32(min(max(0, events), math.MaxInt32)) }

// DecodeRosters decodes rosters. Those of the future count as of now.
func DecodeRosters(messages []*wire.CrashRoster, now time.Time) []quarantiner.Roster {
	rosters := make([]quarantiner.Roster, 0, len(messages))
	for _, message := range messages[:min(len(messages), maxCrashesPerNote)] {
		roster := quarantiner.Roster{Upstream: message.GetUpstream(), At: crashTime(message.GetAgeMs(), now)}
		for i, id := range message.GetSuspects() {
			roster.Suspects = append(roster.Suspects, quarantiner.Suspect{
				ID: id, Events: decodeEvents(message.GetEvents(), i), Outlived: decodeEvents(message.GetOutlived(), i),
			})
		}
		rosters = append(rosters, roster)
	}
	return rosters
}

// decodeEvents returns the number of events at an index, or zero if there is none.
func decodeEvents(events []uint32, at int) int {
	if at >= len(events) {
		return 0
	}
	return int(min(events[at], math.MaxInt32))
}

// crashTime returns the time of a crash of the given age in milliseconds.
func crashTime(ageMs int64, now time.Time) time.Time {
	age := min(max(0, ageMs), int64(maxCrashAge/time.Millisecond))
	return now.Add(-time.Duration(age) * time.Millisecond)
}
