package relayer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// Limits and buffer size of a stream.
const (
	maxLineBytes    = 1 << 20
	maxEventBytes   = 1 << 20
	readBufferBytes = 2 << 10
)

// Stream reads server-sent events.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// NewStream returns a stream that reads the response body. Close closes the body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next returns the next event, or io.EOF at the end of the body. An event that is
// truncated by the end is not returned.
func (s *Stream) Next() (Event, error) {
	var event Event
	var data []byte
	for {
		line, err := s.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if data == nil {
				continue
			}
			event.Data = data
			return event, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			event.ID, _ = strconv.ParseUint(string(value), 10, 64)
		case "data":
			data = appendData(data, value)
			if len(data) > maxEventBytes {
				return Event{}, &EventTooLongError{Limit: maxEventBytes}
			}
		}
	}
}

// Buffered reports whether bytes of the next event have arrived.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// Close closes the body.
func (s *Stream) Close() { _ = s.body.Close() }

func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = s.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, &LineTooLongError{Limit: maxLineBytes}
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

// appendData joins the data lines of one event.
func appendData(data, value []byte) []byte {
	if data == nil {
		return append(make([]byte, 0, len(value)), value...)
	}
	data = append(data, '\n')
	return append(data, value...)
}
