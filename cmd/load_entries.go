package cmd

import (
	"fmt"
	"text/tabwriter"
	"time"

	"burdocklink/checker"
	"burdocklink/encoder"
	"burdocklink/loader"
)

// Settings of a run against entries.
var (
	loadEntries = checker.Definition{
		Name:  "entries",
		Usage: "base URLs of running entries, separated by commas; sends requests to them instead of running experiments",
	}
	subscriberKey = checker.Definition{
		Name:   "subscriber-key",
		Usage:  "key of the subscriber whose requests are sent",
		Secret: true,
	}
	loadModels = checker.Definition{
		Name:  "models",
		Usage: "models and adapters to request, the most frequent first, separated by commas",
	}
	loadClass = checker.Definition{
		Name:  "class",
		Usage: "class of the requests; defaults to the entries' default",
	}
	loadRate = checker.Definition{
		Name:    "rate",
		Default: "20",
		Usage:   "mean arrival rate in requests per second",
	}
	loadRequests = checker.Definition{
		Name:    "requests",
		Default: "200",
		Usage:   "number of requests to send",
	}
	loadPrompt = checker.Definition{
		Name:    "prompt-words",
		Default: "100",
		Usage:   "length of each prompt in words",
	}
	loadAnswer = checker.Definition{
		Name:    "answer-tokens",
		Default: "50",
		Usage:   "length of each answer in tokens",
	}
	loadLimit = checker.Definition{
		Name:    "limit",
		Default: "60s",
		Usage:   "longest wait for one answer",
	}
)

const (
	maxRequests = 1 << 20
	maxWords    = 1 << 16
)

// loadRunSettings returns the settings of a run against entries.
func loadRunSettings() []checker.Definition {
	return []checker.Definition{loadEntries, subscriberKey, loadModels, loadClass, loadRate,
		loadRequests, loadPrompt, loadAnswer, loadLimit}
}

// runAgainstEntries sends requests to running entries.
func runAgainstEntries(call *invocation) error {
	settings := loader.Settings{
		Entries:      call.settings.List(loadEntries.Name),
		Key:          call.settings.Required(subscriberKey.Name),
		Models:       call.settings.List(loadModels.Name),
		Class:        call.settings.Text(loadClass.Name),
		Rate:         call.settings.Rate(loadRate.Name),
		Requests:     call.settings.Count(loadRequests.Name, 1, maxRequests),
		PromptWords:  call.settings.Count(loadPrompt.Name, 1, maxWords),
		AnswerTokens: call.settings.Count(loadAnswer.Name, 1, maxWords),
		Seed:         uint64(call.settings.Count(loadSeed.Name, 0, maxSeed)),
		Timeout:      call.settings.Duration(loadLimit.Name),
	}
	if len(settings.Models) == 0 {
		call.settings.AddFault(loadModels.Name, "must name one or more models")
	}
	if err := call.settings.Err(); err != nil {
		return err
	}
	summary := loader.Summarize(loader.New(settings).Run(call.ctx))
	return printSummary(call, loadLine(summary))
}

func loadLine(summary loader.Summary) encoder.LoadLine {
	return encoder.LoadLine{
		Requests:          summary.Requests,
		Whole:             summary.Completed,
		Refused:           summary.Refused,
		Failed:            summary.Failed,
		Cut:               summary.Truncated,
		Tokens:            summary.Tokens,
		TokensPerSecond:   summary.TokensPerSecond,
		FirstToken50Ms:    milliseconds(summary.FirstToken50),
		FirstToken95Ms:    milliseconds(summary.FirstToken95),
		BetweenTokens50Ms: milliseconds(summary.Gap50),
		BetweenTokens95Ms: milliseconds(summary.Gap95),
	}
}

func milliseconds(length time.Duration) float64 {
	return float64(length) / float64(time.Millisecond)
}

func printSummary(call *invocation, line encoder.LoadLine) error {
	if call.settings.Text(outputFormat.Name) == outputJSON {
		data, err := encoder.Indent(line)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(call.out, string(data))
		return err
	}
	const padding = 2
	table := tabwriter.NewWriter(call.out, 0, 0, padding, ' ', 0)
	_, err := fmt.Fprintf(table,
		"REQUESTS\tWHOLE\tREFUSED\tFAILED\tCUT\tTOKENS/S\tFIRST TOKEN 50/95 MS\tBETWEEN TOKENS 50/95 MS\n"+
			"%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f/%.1f\t%.1f/%.1f\n",
		line.Requests, line.Whole, line.Refused, line.Failed, line.Cut, line.TokensPerSecond,
		line.FirstToken50Ms, line.FirstToken95Ms, line.BetweenTokens50Ms, line.BetweenTokens95Ms)
	if err != nil {
		return err
	}
	return table.Flush()
}
