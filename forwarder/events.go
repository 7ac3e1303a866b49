package forwarder

import (
	"bytes"
	"io"
	"slices"
	"strconv"
)

// maxEventBytes is the size limit of one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a stream into events. An event ends with an empty line, and its
// bytes are not changed.
type eventReader struct {
	source io.Reader
	// held counts pending.
	held ownBuffer
	// pending are the bytes read but not yet returned. They contain no complete event.
	pending []byte
	buffer  []byte
	err     error
}

func newEventReader(from io.Reader, held ownBuffer) *eventReader {
	return &eventReader{source: from, held: held, buffer: make([]byte, 4<<10)}
}

// longestEventEnd is the number of bytes that can end an event.
const longestEventEnd = 3

// next returns all complete events received so far, at least one. The bytes are valid
// until the next call. It returns io.EOF at the end of the stream, a *PartialEventError if
// the stream ends within an event or an event is too large, and a *BufferLimitError if the
// entry holds too many bytes.
func (r *eventReader) next() ([]byte, error) {
	for {
		if r.err != nil {
			return nil, r.endError()
		}
		if len(r.pending) > maxEventBytes {
			return nil, &PartialEventError{}
		}
		n, err := r.source.Read(r.buffer)
		r.err = err
		searched := max(0, len(r.pending)-longestEventEnd+1)
		r.pending = append(r.pending, r.buffer[:n]...)
		if err := r.held.hold(n); err != nil {
			return nil, err
		}
		if end := lastEventEnd(r.pending[searched:]); end > 0 {
			whole := r.pending[:searched+end]
			r.pending = r.pending[searched+end:]
			r.held.release(len(whole))
			return whole, nil
		}
	}
}

func (r *eventReader) endError() error {
	if r.err == io.EOF && len(r.pending) > 0 {
		return &PartialEventError{}
	}
	return r.err
}

// lastEventEnd returns the length in bytes of the complete events at the start of data.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+3)
	}
	return end
}

// forEachEvent calls each for every event until it returns an error.
func forEachEvent(events []byte, each func(event []byte) error) error {
	for len(events) > 0 {
		end := firstEventEnd(events)
		if err := each(events[:end]); err != nil {
			return err
		}
		events = events[end:]
	}
	return nil
}

func firstEventEnd(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return len(data)
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + 2
	default:
		return crlf + 3
	}
}

// eventID returns the ID of an event, and false if it has no numeric one.
func eventID(event []byte) (uint64, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		number, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return number, err == nil
	}
	return 0, false
}

// eventFields are the fields of an event without an ID.
var eventFields = []string{"data", "event", "retry"}

// isEvent reports whether all lines are comments or fields of an event without an ID.
func isEvent(event []byte) bool {
	return eachLine(event, func(line []byte) bool {
		field, _, _ := bytes.Cut(line, []byte(":"))
		return len(field) == 0 || slices.Contains(eventFields, string(field))
	})
}

// isComment reports whether all lines are comments.
func isComment(event []byte) bool {
	return eachLine(event, func(line []byte) bool { return len(line) == 0 || line[0] == ':' })
}

// eachLine reports whether a condition holds for each line.
func eachLine(event []byte, holds func(line []byte) bool) bool {
	for line := range bytes.Lines(event) {
		if !holds(bytes.TrimRight(line, "\r\n")) {
			return false
		}
	}
	return true
}
