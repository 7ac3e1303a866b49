//go:build review3

// Command review3 plays the scripted cases of the third review: it starts the platform's
// programs as separate processes on loopback addresses, stands in for callers, servers and the
// platform, and judges what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnrun  = 2
)

// cases are the scripted cases by name. Trouble is false if the case runs without its
// disruption. Each returns whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		return exitUnrun
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnrun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSystem(record)
	if err != nil {
		record.add("the case could not run: %v", err)
		return exitUnrun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		return exitUnrun
	case broken:
		record.add("the rule was broken")
		return exitBroken
	default:
		record.add("the rule held")
		return exitHeld
	}
}

// record is the file of what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) close() { _ = r.file.Close() }
