package faker

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"burdocklink/encoder"
)

// journal appends the actions of a stand-in to a file, so that they are known
// after its process was killed.
type journal struct {
	mu   sync.Mutex
	file *os.File
}

// newJournal opens the file. An empty path returns a journal that discards all
// lines.
func newJournal(path string) (*journal, error) {
	if path == "" {
		return &journal{}, nil
	}
	const mode = 0o600
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode)
	if err != nil {
		return nil, eris.Wrap(err, "open journal")
	}
	return &journal{file: file}, nil
}

// add appends a line. Failures to encode or write it are ignored.
func (j *journal) add(line encoder.JournalLine) {
	if j == nil || j.file == nil {
		return
	}
	data, err := json.Marshal(line)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.file.Write(append(data, '\n'))
}
