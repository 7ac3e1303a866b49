package cmd

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"burdocklink/checker"
	"burdocklink/encoder"
	"burdocklink/experimenter"
	"burdocklink/illustrator"
)

// Settings of an experiment.
var (
	loadDeployment = checker.Definition{
		Name:    "deployment",
		Default: "cukorvirag",
		Usage:   "cukorvirag, carbono or all",
	}
	loadCase = checker.Definition{
		Name:    "case",
		Default: "shift",
		Usage:   "a case's name, or all",
	}
	loadCompare = checker.Definition{
		Name:   "compare",
		Usage:  "also run the baseline policies on the same seed",
		Switch: true,
	}
	loadSeed = checker.Definition{
		Name:    "seed",
		Default: "1",
		Usage:   "seed of arrivals and random choices; the same seed repeats a run",
	}
	loadPage = checker.Definition{
		Name:  "page",
		Usage: "file to write an HTML page with plots to",
	}
)

// allNames selects all deployments or all cases.
const allNames = "all"

const maxSeed = 1 << 62

func loadCommand() command {
	return command{
		name:     "load",
		usage:    "run experiments over emulated engines, or send requests to running entries",
		settings: append(loadRunSettings(), loadDeployment, loadCase, loadCompare, loadSeed, loadPage, outputFormat),
		run:      runLoad,
	}
}

func runLoad(call *invocation) error {
	if call.settings.Text(loadEntries.Name) != "" {
		return runAgainstEntries(call)
	}
	seed := uint64(call.settings.Count(loadSeed.Name, 0, maxSeed))
	cases := selectCases(call.settings, seed)
	page := call.settings.Text(loadPage.Name)
	output := call.settings.Text(outputFormat.Name)
	if output != outputTable && output != outputJSON {
		call.settings.AddFault(outputFormat.Name, "must be table or json")
	}
	if err := call.settings.Err(); err != nil {
		return err
	}
	results := runCases(cases, selectPolicies(call.settings))
	if page != "" {
		if err := writePage(page, results); err != nil {
			return err
		}
	}
	return printResults(call.out, output, results)
}

// selectCases returns the cases that the settings name. Faults are reported by
// settings.Err.
func selectCases(settings *checker.Reader, seed uint64) []experimenter.Case {
	var chosen []experimenter.Case
	var known []string
	for _, deployment := range selectDeployments(settings) {
		for _, each := range experimenter.Cases(deployment, seed) {
			known = append(known, each.Name)
			name := settings.Text(loadCase.Name)
			if name == allNames || name == each.Name {
				chosen = append(chosen, each)
			}
		}
	}
	if len(chosen) == 0 {
		settings.AddFault(loadCase.Name, "must be all or one of "+strings.Join(known, ", "))
	}
	return chosen
}

func selectDeployments(settings *checker.Reader) []experimenter.Deployment {
	name := settings.Text(loadDeployment.Name)
	var chosen []experimenter.Deployment
	for _, deployment := range []experimenter.Deployment{experimenter.Cukorvirag(), experimenter.Carbono()} {
		if name == allNames || name == deployment.Name {
			chosen = append(chosen, deployment)
		}
	}
	if len(chosen) == 0 {
		settings.AddFault(loadDeployment.Name, "must be cukorvirag, carbono or all")
	}
	return chosen
}

func selectPolicies(settings *checker.Reader) []experimenter.Policy {
	if settings.Switch(loadCompare.Name) {
		return experimenter.Policies()
	}
	return []experimenter.Policy{experimenter.Default}
}

func runCases(cases []experimenter.Case, policies []experimenter.Policy) []experimenter.Result {
	var results []experimenter.Result
	for _, each := range cases {
		for _, policy := range policies {
			results = append(results, experimenter.Run(each, policy))
		}
	}
	return results
}

func writePage(path string, results []experimenter.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return &FileError{Path: path, Cause: err}
	}
	if err := illustrator.WritePage(file, results); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return &FileError{Path: path, Cause: err}
	}
	return nil
}

func printResults(out io.Writer, output string, results []experimenter.Result) error {
	if output == outputJSON {
		data, err := encoder.EncodeExperiments(results)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, string(data))
		return err
	}
	const padding = 2
	table := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	if err := writeResults(table, results); err != nil {
		return err
	}
	return table.Flush()
}

func writeResults(table *tabwriter.Writer, results []experimenter.Result) error {
	_, err := fmt.Fprintln(table,
		"DEPLOYMENT\tCASE\tPOLICY\tREQUESTS\tATTAINMENT\tPER ACCELERATOR\tMOVES\tLATE\tREFUSED\tFAILED\tLOST\tDOUBLED\tCUT")
	for _, result := range results {
		if err != nil {
			return err
		}
		total := result.Total
		_, err = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.4f\t%.5f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			result.Deployment, result.Case, result.Policy, total.Requests, total.Attainment(),
			result.PerAccelerator, result.MoveCount(), total.Late,
			total.Hopeless+total.Overloaded+total.NoUpstream,
			total.Failed, total.Lost, total.Doubled, total.Cut)
	}
	return err
}
