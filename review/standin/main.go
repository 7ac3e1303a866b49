//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

func formatMs(wait time.Duration) string { return strconv.FormatInt(wait.Milliseconds(), 10) }

// cases are the cases by name. Each returns whether the rule was broken, and why.
var cases = map[string]func(s *site, trouble bool) (broken bool, why string){}

// The programs are started from the main thread: they end with the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitCannot)
	}
	s := newSite(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannot("stopped")
	}()
	time.AfterFunc(115*time.Second, func() { cannot("it took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	broken, why := cases[os.Args[1]](s, trouble)
	s.checkProcesses()
	if reason := s.fail.Load(); reason != nil {
		cannot("%s", *reason)
	}
	verdict, code := "held", exitHeld
	if broken {
		verdict, code = "broken", exitBroken
	}
	s.add("rule %s: %s", verdict, why)
	fmt.Printf("rule %s: %s\n", verdict, why)
	s.stopAll()
	os.Exit(code)
}
