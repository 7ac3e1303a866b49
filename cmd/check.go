package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"burdocklink/auditor"
	"burdocklink/checker"
	"burdocklink/encoder"
	"burdocklink/matcher"
	"burdocklink/platform"
)

var (
	checkFile = checker.Definition{
		Name:  "configuration",
		Usage: "file with the configuration to be sent",
	}
	checkInForce = checker.Definition{
		Name:  "in-force",
		Usage: "file with the configuration in force, to list what differs",
	}
)

func checkCommand() command {
	return command{
		name:     "check",
		usage:    "check a configuration before it is sent: faults, entries without effect, and what differs from the one in force",
		settings: []checker.Definition{checkFile, checkInForce, outputFormat},
		run:      runCheck,
	}
}

func runCheck(call *invocation) error {
	path, inForcePath := call.settings.Text(checkFile.Name), call.settings.Text(checkInForce.Name)
	format := call.settings.Text(outputFormat.Name)
	if err := call.settings.Err(); err != nil {
		return err
	}
	configuration, err := readConfiguration(path)
	if err != nil {
		return err
	}
	var inForce *matcher.Configuration
	if inForcePath != "" {
		if inForce, err = readConfiguration(inForcePath); err != nil {
			return err
		}
	}
	findings := auditor.Audit(configuration, inForce)
	if err := writeFindings(call, findings, format); err != nil {
		return err
	}
	if count := countFaults(findings); count > 0 {
		return &FaultyConfigurationError{Faults: count}
	}
	return nil
}

// readConfiguration decodes a file as the running system does. The error is a
// *ConfigurationFileError.
func readConfiguration(path string) (*matcher.Configuration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigurationFileError{Path: path, Cause: err}
	}
	configuration, err := platform.DecodeConfiguration(content)
	if err != nil {
		return nil, &ConfigurationFileError{Path: path, Line: lineOf(content, err), Cause: err}
	}
	return configuration, nil
}

// lineOf returns the line of a fault in JSON, counted from 1; zero if it is not known.
func lineOf(content []byte, err error) int {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	}
	if offset < 0 || offset > int64(len(content)) {
		return 0
	}
	return 1 + strings.Count(string(content[:offset]), "\n")
}

func writeFindings(call *invocation, findings []auditor.Finding, format string) error {
	if format == outputJSON {
		content, err := encoder.EncodeFindings(findings)
		if err == nil {
			_, err = call.out.Write(content)
		}
		return err
	}
	table := tabwriter.NewWriter(call.out, 0, 0, 2, ' ', 0)
	for _, finding := range findings {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\n", finding.Severity, finding.Place, finding.Text); err != nil {
			return err
		}
	}
	return table.Flush()
}

func countFaults(findings []auditor.Finding) int {
	count := 0
	for _, finding := range findings {
		if finding.Severity == auditor.Fault {
			count++
		}
	}
	return count
}

// FaultyConfigurationError reports that a configuration would be refused.
type FaultyConfigurationError struct{ Faults int }

// Error implements error.
func (e *FaultyConfigurationError) Error() string {
	return "the configuration would be refused: " + strconv.Itoa(e.Faults) + " faults"
}

// ConfigurationFileError reports a file that can't be read. Line counts from 1 and is zero
// if it is not known.
type ConfigurationFileError struct {
	Path  string
	Line  int
	Cause error
}

// Error describes the fault.
func (e *ConfigurationFileError) Error() string {
	place := e.Path
	if e.Line > 0 {
		place += ", line " + strconv.Itoa(e.Line)
	}
	return place + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConfigurationFileError) Unwrap() error { return e.Cause }
