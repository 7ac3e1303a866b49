package faker

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"burdocklink/encoder"
)

// journal appends what a stand-in did to a file, which outlives a kill of the
// process.
type journal struct {
	mu   sync.Mutex
	file *os.File
}

// newJournal opens the file; an empty path gives a journal that keeps nothing.
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

// add appends a line.
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
