package encoder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocklink/router"
)

// maxPauseSeconds is the longest pause that an upstream can request. For a longer
// one it should leave the platform's list.
const maxPauseSeconds = 3600

// DecodeNotice decodes an upstream's state from the status and header of an answer.
// If the pause is invalid, it returns the pause's text.
func DecodeNotice(status int, header http.Header, now time.Time) (router.Notice, string) {
	until, invalid := DecodePause(status, header.Get(HeaderRetryAfter), now)
	return router.Notice{Leaving: header.Get(HeaderLeaving) == LeavingValue, PausedUntil: until}, invalid
}

// DecodePause decodes the value of HeaderRetryAfter, in seconds. It is ignored unless
// the status is 503. DecodePause returns the end of the pause, zero if there is none,
// and the text if it is invalid.
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

// maxPerSecond is the highest rate limit, in requests per second. No upstream
// reaches it, so higher values make no difference.
const maxPerSecond = 1e6

// DecodeRateLimit decodes the value of HeaderLimit: the requests per second that an
// upstream accepts from all VMs together. It returns the text if it is invalid.
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

// decodeDecimal parses a decimal number without sign and exponent. Numbers out of
// range become infinite.
func decodeDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil || math.IsInf(value, 1)
}
