package cmd

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"burdocklink/checker"
	"burdocklink/encoder"
)

const maxRecords = 10000

var recordCount = checker.Definition{
	Name:    "most",
	Default: "20",
	Usage:   "how many changes to list, newest first",
}

func historyCommand() command {
	return command{
		name:     "history",
		usage:    "list the operators' accepted changes",
		settings: operatorSettings(recordCount),
		run:      printHistory,
	}
}

func printHistory(call *invocation) error {
	limit := call.settings.Count(recordCount.Name, 1, maxRecords)
	operator, err := newOperatorCall(call)
	if err != nil {
		return err
	}
	ctx, cancel := operator.context()
	defer cancel()
	reply, err := operator.client.History(ctx, uint32(limit))
	if err != nil {
		return err
	}
	lines := encoder.DecodeHistory(reply)
	return operator.print(lines, func(table *tabwriter.Writer) error {
		return writeHistory(table, lines)
	})
}

func writeHistory(table *tabwriter.Writer, lines []encoder.ChangeLine) error {
	_, err := fmt.Fprintln(table, "REVISION\tAT\tOPERATOR\tREQUEST\tCHANGES")
	for _, line := range lines {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n",
			line.Revision, line.At.Format(time.RFC3339), line.Operator, line.Request,
			strings.Join(line.Changes, "; "))
	}
	return err
}
