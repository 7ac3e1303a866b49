//go:build review2

package main

import (
	"fmt"
	"os"
)

// Results of a case, which are exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripts by name.
var cases = map[string]func(*record) (int, error){
	"unreadable-name": unreadableName,
	"empty-parts":     emptyParts,
	"lost-origins":    lostOrigins,
	"many-parts":      manyParts,
	"bursts":          bursts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2-stand-in CASE FOLDER")
		os.Exit(failed)
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r.printf("case %s, TROUBLE=%t", os.Args[1], troubled())
	result, err := cases[os.Args[1]](r)
	if err != nil {
		r.printf("the case could not run: %v", err)
		result = failed
	}
	r.printf("result: %s", []string{"the rule held", "the rule was broken", "the case could not run"}[result])
	os.Exit(result)
}
