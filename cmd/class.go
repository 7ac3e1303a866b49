package cmd

import (
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"burdocklink/cataloger"
	"burdocklink/checker"
	"burdocklink/classifier"
	"burdocklink/encoder"
)

// Settings of a class.
var (
	firstToken = checker.Definition{
		Name:  "first-token",
		Usage: "target for the first token, such as 1.5s",
	}
	betweenTokens = checker.Definition{
		Name:  "between-tokens",
		Usage: "target for the mean gap between two tokens, such as 26ms",
	}
	wholeAnswer = checker.Definition{
		Name:  "whole",
		Usage: "target for the whole answer, such as 8h",
	}
	repeatForbidden = checker.Definition{
		Name:   "repeat-forbidden",
		Usage:  "a request of the class may run at most once",
		Switch: true,
	}
)

func classCommand() command {
	return command{
		name:  "class",
		usage: "manage classes of work and their targets",
		children: []command{
			{
				name:     "list",
				usage:    "list the classes with their targets and attainment",
				settings: operatorSettings(),
				run:      listClasses,
			},
			{
				name:      "set",
				usage:     "add or replace a class",
				arguments: []string{"name"},
				settings: operatorSettings(firstToken, betweenTokens, wholeAnswer,
					repeatForbidden, baseRevision, requestID),
				run: setClass,
			},
			{
				name:      "remove",
				usage:     "remove a class",
				arguments: []string{"name"},
				settings:  operatorSettings(baseRevision, requestID),
				run:       removeClass,
			},
		},
	}
}

func listClasses(call *invocation) error {
	operator, page, err := newStatusCall(call)
	if err != nil {
		return err
	}
	return operator.print(page.Classes, func(table *tabwriter.Writer) error {
		return writeClasses(table, page.Classes)
	})
}

func writeClasses(table *tabwriter.Writer, classes []encoder.ClassLine) error {
	_, err := fmt.Fprintln(table, "CLASS\tFIRST TOKEN\tBETWEEN TOKENS\tWHOLE\tREPEAT\tATTAINED\tENDED\tMISSED\tREFUSED")
	for _, class := range classes {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n",
			class.Name, orDash(class.FirstToken), orDash(class.BetweenTokens), orDash(class.Whole),
			formatRepeat(class.RepeatForbidden), formatAttainment(class), class.Ended, class.Missed, class.Refused)
	}
	return err
}

// formatAttainment formats the attained share with four decimals.
func formatAttainment(class encoder.ClassLine) string {
	if class.Attained == nil {
		return "-"
	}
	return strconv.FormatFloat(*class.Attained, 'f', 4, 64)
}

func formatRepeat(forbidden bool) string {
	if forbidden {
		return "forbidden"
	}
	return "allowed"
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func setClass(call *invocation) error {
	class := classifier.Class{
		Name: call.arguments["name"],
		Target: classifier.Target{
			FirstToken:    optionalTarget(call, firstToken),
			BetweenTokens: optionalTarget(call, betweenTokens),
			Whole:         optionalTarget(call, wholeAnswer),
		},
		RepeatForbidden: call.settings.Switch(repeatForbidden.Name),
	}
	return commitChanges(call, cataloger.PutClass{Class: class})
}

// optionalTarget returns a target, or zero if the setting is empty.
func optionalTarget(call *invocation, definition checker.Definition) time.Duration {
	if call.settings.Text(definition.Name) == "" {
		return 0
	}
	return call.settings.Duration(definition.Name)
}

func removeClass(call *invocation) error {
	return commitChanges(call, cataloger.RemoveClass{Name: call.arguments["name"]})
}

// commitChanges commits changes as one revision and prints it. The request ID is
// printed first, so that the request can be repeated should the reply be lost.
func commitChanges(call *invocation, changes ...cataloger.Change) error {
	operator, err := newOperatorCall(call)
	if err != nil {
		return err
	}
	ctx, cancel := operator.context()
	defer cancel()
	request := call.settings.Text(requestID.Name)
	if request == "" {
		request = uuid.NewString()
	}
	if _, err := fmt.Fprintln(call.errOut, "request "+request); err != nil {
		return err
	}
	base, err := readBaseRevision(operator)
	if err != nil {
		return err
	}
	revision, err := operator.client.Change(ctx, request, base, changes)
	if err != nil {
		return err
	}
	page := encoder.AcceptedPage{Request: request, Revision: revision}
	return operator.print(page, func(table *tabwriter.Writer) error {
		_, err := fmt.Fprintf(table, "accepted at revision %d\n", revision)
		return err
	})
}

// readBaseRevision returns the revision that a change is based on: that of the
// setting or else the current one.
func readBaseRevision(operator *operatorCall) (uint64, error) {
	text := operator.settings.Text(baseRevision.Name)
	if text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			operator.settings.AddFault(baseRevision.Name, "must be a revision, a whole number")
		}
		return base, operator.settings.Err()
	}
	ctx, cancel := operator.context()
	defer cancel()
	return operator.client.Revision(ctx)
}
