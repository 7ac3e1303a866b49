package encoder

import (
	"bytes"
	"encoding/json"
	"strings"
)

// FragmentError reports JSON that can't be divided into its parts.
type FragmentError struct{ Offset int }

// Error describes the fault.
func (e *FragmentError) Error() string { return "JSON can't be divided into its parts" }

// fragments divides JSON into the values of one level without decoding them, so that a
// value which can't be decoded, however deep it is, does not affect the others.
type fragments struct {
	data []byte
	at   int
}

// Fields returns the values of a JSON object by field name in lower case. It returns a
// *FragmentError if data is not an object.
func Fields(data []byte) (map[string]json.RawMessage, error) {
	f := &fragments{data: data}
	if !f.take('{') {
		return nil, f.fault()
	}
	fields := map[string]json.RawMessage{}
	for !f.take('}') {
		name, known := f.text()
		if !known || !f.take(':') {
			return nil, f.fault()
		}
		fields[strings.ToLower(name)] = f.value()
		if !f.take(',') && !f.next('}') {
			return nil, f.fault()
		}
	}
	return fields, f.end()
}

// Elements returns the values of a JSON array. It returns a *FragmentError if data is not
// an array.
func Elements(data []byte) ([]json.RawMessage, error) {
	f := &fragments{data: data}
	if !f.take('[') {
		return nil, f.fault()
	}
	var elements []json.RawMessage
	for !f.take(']') {
		elements = append(elements, f.value())
		if !f.take(',') && !f.next(']') {
			return nil, f.fault()
		}
	}
	return elements, f.end()
}

func (f *fragments) fault() error { return &FragmentError{Offset: f.at} }

// end returns an error unless only white space is left.
func (f *fragments) end() error {
	if f.skipSpace(); f.at < len(f.data) {
		return f.fault()
	}
	return nil
}

func (f *fragments) skipSpace() {
	for f.at < len(f.data) && bytes.IndexByte([]byte(" \t\r\n"), f.data[f.at]) >= 0 {
		f.at++
	}
}

// next reports whether the next byte is the given one.
func (f *fragments) next(want byte) bool {
	f.skipSpace()
	return f.at < len(f.data) && f.data[f.at] == want
}

// take skips the next byte if it is the given one, and reports whether it was.
func (f *fragments) take(want byte) bool {
	found := f.next(want)
	if found {
		f.at++
	}
	return found
}

// text returns a string.
func (f *fragments) text() (string, bool) {
	if !f.next('"') {
		return "", false
	}
	from := f.at
	f.skipText()
	var text string
	err := json.Unmarshal(f.data[from:f.at], &text)
	return text, err == nil
}

// skipText skips a string from its first quote on.
func (f *fragments) skipText() {
	for f.at++; f.at < len(f.data); f.at++ {
		switch f.data[f.at] {
		case '\\':
			f.at++
		case '"':
			f.at++
			return
		}
	}
	f.at = min(f.at, len(f.data))
}

// value returns the bytes up to the comma or bracket that ends a value. Brackets that don't
// match end with the ones around them.
func (f *fragments) value() json.RawMessage {
	f.skipSpace()
	from := f.at
	var open []byte
	for f.at < len(f.data) {
		switch char := f.data[f.at]; char {
		case '"':
			f.skipText()
			continue
		case '{', '[':
			open = append(open, char)
		case '}', ']':
			at := bytes.LastIndexByte(open, char-2) // the opening bracket
			if at < 0 {
				return bytes.TrimSpace(f.data[from:f.at])
			}
			open = open[:at]
		case ',':
			if len(open) == 0 {
				return bytes.TrimSpace(f.data[from:f.at])
			}
		}
		f.at++
	}
	return bytes.TrimSpace(f.data[from:])
}
