package summarizer

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// line is what a log line says about a request or an order.
type line struct {
	at       time.Time
	message  string
	model    string
	adapter  string
	result   string
	cause    Cause
	upstream string
	// loads is the model that a drained copy makes room for.
	loads      string
	action     int
	took       time.Duration
	firstEvent time.Duration
	// organisation is the one whose key the request had, or whose quota was granted; granted
	// are the units of the grant.
	organisation string
	granted      float64
}

// wireLine is the JSON form of a log line.
type wireLine struct {
	At         time.Time `json:"ts"`
	Message    string    `json:"msg"`
	Model      string    `json:"model"`
	Adapter    string    `json:"adapter"`
	Result     string    `json:"result"`
	Error      string    `json:"error"`
	Upstream   string    `json:"upstream"`
	For        string    `json:"for"`
	Action     int       `json:"action"`
	Took       float64   `json:"took"`
	FirstEvent float64   `json:"first-event"`
	// Organisation and Granted are those of requests and grants of quotas.
	Organisation string  `json:"organisation"`
	Granted      float64 `json:"granted"`
}

// Messages of the log lines that count.
const (
	messageRequest = "request"
	messageOrder   = "order"
	messageDrain   = "copy is drained"
	messageQuota   = "quota granted"
)

// decode reads a log line. It returns false for lines that don't count.
func decode(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var wire wireLine
	if err := json.Unmarshal(text[start:], &wire); err != nil {
		return line{}, false
	}
	switch wire.Message {
	case messageRequest, messageOrder, messageDrain, messageQuota:
	default:
		return line{}, false
	}
	return line{
		at: wire.At, message: wire.Message, model: wire.Model, adapter: wire.Adapter, result: wire.Result,
		cause: causeOf(wire.Error), upstream: wire.Upstream, loads: wire.For, action: wire.Action,
		took: seconds(wire.Took), firstEvent: seconds(wire.FirstEvent),
		organisation: wire.Organisation, granted: wire.Granted,
	}, true
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// causeOf returns the cause for the error of a refused request.
func causeOf(message string) Cause {
	switch {
	case strings.HasPrefix(message, "target can no longer"):
		return CauseTarget
	case strings.HasPrefix(message, "no upstream holds"):
		return CauseHolder
	case strings.HasPrefix(message, "no configuration"):
		return CauseConfiguration
	case strings.HasPrefix(message, "retry budget"):
		return CauseBudget
	case strings.HasPrefix(message, "the quota of"), strings.HasPrefix(message, "no leader grants units"):
		return CauseQuota
	case strings.HasPrefix(message, "the key"):
		return CauseKey
	default:
		return CauseOther
	}
}
