package cmd

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"burdocklink/checker"
	"burdocklink/summarizer"
)

var (
	lossesFile = checker.Definition{
		Name:    "logs",
		Default: "-",
		Usage:   "file with the logs of entries and control members; - is the standard input",
	}
	lossesTarget = checker.Definition{
		Name:    "target",
		Default: "500ms",
		Usage:   "time to the first event above which a request counts as late",
	}
)

func lossesCommand() command {
	return command{
		name:     "losses",
		usage:    "summarise from logs which requests were refused, late or failed, and when models had too few copies",
		settings: []checker.Definition{lossesFile, lossesTarget},
		run:      printLosses,
	}
}

func printLosses(call *invocation) error {
	name := call.settings.Text(lossesFile.Name)
	target := call.settings.Duration(lossesTarget.Name)
	if err := call.settings.Err(); err != nil {
		return err
	}
	logs := io.Reader(os.Stdin)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return &summarizer.ReadError{Cause: err}
		}
		defer func() { _ = file.Close() }()
		logs = file
	}
	summary, err := summarizer.Read(logs, summarizer.Settings{Target: target})
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(call.out, 0, 0, 2, ' ', 0)
	if err := writeLosses(table, summary); err != nil {
		return err
	}
	return table.Flush()
}

func writeLosses(table *tabwriter.Writer, summary *summarizer.Summary) error {
	_, err := fmt.Fprint(table, "MODEL\tADAPTERS\tREQUESTS\tLATE\tFAILED"+causeColumns())
	for _, losses := range summary.Losses {
		if err == nil {
			_, err = fmt.Fprintf(table, "\n%s\t%t\t%d\t%d\t%d", losses.Model, losses.Adapters, losses.Requests, losses.Late, losses.Failed)
		}
		for _, cause := range summarizer.Causes() {
			if err == nil {
				_, err = fmt.Fprintf(table, "\t%d", losses.Refused[cause])
			}
		}
	}
	if err == nil && len(summary.Organisations) > 0 {
		err = writeOrganisations(table, summary.Organisations)
	}
	if err == nil {
		_, err = fmt.Fprintln(table, "\n\nMODEL\tSHORT FROM\tFOR\tREFUSED\tORDERED AFTER\tSERVED AFTER\tIDLE ENGINES")
	}
	for _, s := range summary.Shortages {
		if err == nil {
			_, err = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%.0f%%\n", s.Model, s.Start.Format(time.TimeOnly),
				s.End.Sub(s.Start), s.Refused, sinceOrDash(s.Start, s.Ordered), sinceOrDash(s.Start, s.Served), 100*s.Idle)
		}
	}
	return err
}

// causeColumns returns the columns for the causes of refusals.
func causeColumns() string {
	var columns strings.Builder
	for _, cause := range summarizer.Causes() {
		columns.WriteString("\tREFUSED: " + string(cause))
	}
	return columns.String()
}

func writeOrganisations(table *tabwriter.Writer, organisations []*summarizer.OrganisationLosses) error {
	_, err := fmt.Fprint(table, "\n\nORGANISATION\tREQUESTS\tGRANTED UNITS\tFAILED"+causeColumns())
	for _, losses := range organisations {
		if err == nil {
			_, err = fmt.Fprintf(table, "\n%s\t%d\t%.0f\t%d", losses.Organisation, losses.Requests, losses.GrantedUnits, losses.Failed)
		}
		for _, cause := range summarizer.Causes() {
			if err == nil {
				_, err = fmt.Fprintf(table, "\t%d", losses.Refused[cause])
			}
		}
	}
	return err
}

// sinceOrDash returns the time between two times, or a dash if the second is zero.
func sinceOrDash(start, at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.Sub(start).Round(100 * time.Millisecond).String()
}
