package encoder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocklink/router"
)

// maxPauseSeconds is the longest pause, in seconds, that an upstream can ask for. One
// that wants no requests for longer is to leave the list of upstreams.
const maxPauseSeconds = 3600

// DecodeNotice reads what an upstream says of itself at the head of an answer,
// and returns the text of a pause that can't be read.
func DecodeNotice(status int, header http.Header, now time.Time) (router.Notice, string) {
	until, invalid := DecodePause(status, header.Get(HeaderRetryAfter), now)
	return router.Notice{Leaving: header.Get(HeaderLeaving) == LeavingValue, PausedUntil: until}, invalid
}

// DecodePause reads the seconds that an upstream wants no requests for, which it
// tells beside 503. It returns the end of the pause, zero where there is none,
// and the text where that can't be read.
func DecodePause(status int, text string, now time.Time) (time.Time, string) {
	if status != http.StatusServiceUnavailable || text == "" {
		return time.Time{}, ""
	}
	seconds, valid := decodeDecimal(strings.TrimSpace(text))
	if !valid {
		return time.Time{}, text
	}
	if seconds == 0 {
		return time.Time{}, ""
	}
	return now.Add(time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))), ""
}

// maxPerSecond is the highest limit that is told apart from none, in requests a
// second: no upstream takes as many.
const maxPerSecond = 1e6

// DecodeRateLimit reads the requests a second that an upstream takes from all VMs
// together. It returns the text where that can't be read.
func DecodeRateLimit(text string) (router.RateLimit, string) {
	if text == "" {
		return router.RateLimit{}, ""
	}
	perSecond, valid := decodeDecimal(strings.TrimSpace(text))
	if !valid {
		return router.RateLimit{}, text
	}
	return router.RateLimit{Announced: true, PerSecond: min(perSecond, maxPerSecond)}, ""
}

// decodeDecimal reads an integer or a decimal. One too large for a number is
// infinite.
func decodeDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil || math.IsInf(value, 1)
}
