package budgeter

import (
	"io"
	"time"
)

// minBuffer is the size of a body's first buffer. Most bodies fit in it.
const minBuffer = 2 << 10

// EvictedError is returned if a body was given up because it arrived slowly while the
// budget was used up.
type EvictedError struct{}

// Error describes the refusal.
func (e *EvictedError) Error() string { return "the body arrived too slowly" }

// ReadAll reads a body of expected bytes; -1 if the number is not known. The buffer grows
// with what has arrived, whatever was announced. It returns a *FullError, an *EvictedError
// or the error of the source.
func (o *Body) ReadAll(from io.Reader, expected int64) ([]byte, error) {
	var content []byte
	for {
		if len(content) == cap(content) {
			grown, err := o.grow(content, expected)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		n, err := from.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		o.Advance(time.Now(), int64(len(content)))
		if err == io.EOF {
			return content, o.Complete()
		}
		if err != nil {
			return nil, o.readError(err)
		}
	}
}

// readError returns the error for a body that can't be read on.
func (o *Body) readError(err error) error {
	b := o.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if o.gone {
		return &EvictedError{}
	}
	return err
}

// grow returns a larger buffer with the same content. While it is copied, both buffers are
// reserved.
func (o *Body) grow(content []byte, expected int64) ([]byte, error) {
	size := max(minBuffer, 2*int64(cap(content)))
	if expected >= int64(cap(content)) {
		// one more byte, so that the end is read without growing again
		size = min(size, expected+1)
	}
	received := int64(len(content))
	if err := o.Reserve(time.Now(), size+int64(cap(content)), received); err != nil {
		return nil, err
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	if err := o.Reserve(time.Now(), size, received); err != nil {
		return nil, err
	}
	return grown, nil
}
