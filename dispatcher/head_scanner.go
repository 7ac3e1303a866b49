package dispatcher

import "golang.org/x/net/http/httpguts"

// maxReportedName is how many bytes of an invalid field name an error reports.
const maxReportedName = 64

// headPart is the part of an answer that the next byte belongs to.
type headPart int

const (
	partVersion headPart = iota
	// partStatus is the blanks before the status and its first digit.
	partStatus
	// partLine is the rest of a line.
	partLine
	// partLineStart is the first byte of a field, or of the empty line that ends a head.
	partLineStart
	partName
	// partEmptyLine is the rest of the empty line.
	partEmptyLine
	// partBody is all that follows a head.
	partBody
)

// headScanner checks the field names in the heads of an answer, including those of informational
// answers before it, as they arrive. net/http accepts names with blanks, and joins a line that
// begins with one to the line before, also where the field delimits the body. The zero value
// expects a head.
type headScanner struct {
	part headPart
	// informational is true if another head follows the current one.
	informational bool
	// name is the beginning of the last field name, up to maxReportedName bytes.
	name []byte
}

// scan checks the next bytes of a connection. The error is an *InvalidFieldError.
func (s *headScanner) scan(data []byte) error {
	for _, char := range data {
		if s.part == partBody {
			return nil
		}
		if !s.scanByte(char) {
			return &InvalidFieldError{Name: string(s.name)}
		}
	}
	return nil
}

// scanByte reports whether a byte is valid where it stands.
func (s *headScanner) scanByte(char byte) bool {
	switch s.part {
	case partVersion:
		s.part = after(char, ' ', partStatus, partVersion)
	case partStatus:
		s.scanStatus(char)
	case partLine:
		s.part = after(char, '\n', partLineStart, partLine)
	case partLineStart:
		return s.scanLineStart(char)
	case partName:
		return s.scanName(char)
	case partEmptyLine:
		return char == '\n' && s.endHead()
	}
	return true
}

func (s *headScanner) scanStatus(char byte) {
	if char != ' ' {
		s.informational = char == '1'
		s.part = after(char, '\n', partLineStart, partLine)
	}
}

func (s *headScanner) scanLineStart(char byte) bool {
	s.name = s.name[:0]
	switch char {
	case '\r':
		s.part = partEmptyLine
		return true
	case '\n':
		return s.endHead()
	case ':':
		return false
	default:
		s.part = partName
		return s.scanName(char)
	}
}

func (s *headScanner) scanName(char byte) bool {
	if char == ':' {
		s.part = partLine
		return true
	}
	if len(s.name) < maxReportedName {
		s.name = append(s.name, char)
	}
	return httpguts.IsTokenRune(rune(char))
}

// endHead ends the current head and reports true.
func (s *headScanner) endHead() bool {
	if s.informational {
		s.part = partVersion
	} else {
		s.part, s.name = partBody, nil
	}
	return true
}

// after returns next if a byte is the one that ends a part, and the part otherwise.
func after(char, end byte, next, part headPart) headPart {
	if char == end {
		return next
	}
	return part
}
