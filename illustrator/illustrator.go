// Package illustrator writes the results of experiments as a self-contained HTML
// page with tables and plots.
package illustrator

import (
	"html/template"
	"io"
	"slices"

	"burdocklink/experimenter"
)

// page is the data of the template.
type page struct{ Groups []group }

// group has the results of one case of a deployment under all policies.
type group struct {
	Deployment string
	Case       string
	Seed       uint64
	Plot       template.HTML
	Rows       []row
}

// row is the result of one policy.
type row struct {
	experimenter.Result
	Attainment float64
	MoveCount  int
}

// PlotError is returned for a case whose plot can't be drawn.
type PlotError struct {
	Case  string
	Cause error
}

// Error returns the case and the cause.
func (e *PlotError) Error() string { return "plot of case " + e.Case + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Cause }

// WritePage writes the results as an HTML page, grouped by case.
func WritePage(to io.Writer, results []experimenter.Result) error {
	var content page
	for _, group := range groupByCase(results) {
		plot, err := drawTimeline(group)
		if err != nil {
			return &PlotError{Case: group[0].Case, Cause: err}
		}
		content.Groups = append(content.Groups, newGroup(group, plot))
	}
	return pageTemplate.Execute(to, content)
}

func newGroup(results []experimenter.Result, plot template.HTML) group {
	created := group{
		Deployment: results[0].Deployment,
		Case:       results[0].Case,
		Seed:       results[0].Seed,
		Plot:       plot,
	}
	for _, result := range results {
		created.Rows = append(created.Rows, row{
			Result:     result,
			Attainment: result.Total.Attainment(),
			MoveCount:  result.MoveCount(),
		})
	}
	return created
}

// groupByCase groups results by deployment and case, in the order of their first
// appearance.
func groupByCase(results []experimenter.Result) [][]experimenter.Result {
	var grouped [][]experimenter.Result
	for _, result := range results {
		at := slices.IndexFunc(grouped, func(group []experimenter.Result) bool {
			return group[0].Deployment == result.Deployment && group[0].Case == result.Case
		})
		if at < 0 {
			grouped = append(grouped, []experimenter.Result{result})
			continue
		}
		grouped[at] = append(grouped[at], result)
	}
	return grouped
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>burdocklink experiments</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 75em; }
table { border-collapse: collapse; font-size: 0.8em; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
</style>
</head>
<body>
<h1>Experiments</h1>
{{range .Groups}}
<h2>{{.Deployment}}: {{.Case}} (seed {{.Seed}})</h2>
<table>
<tr><th>policy</th><th>attainment</th><th>per accelerator</th><th>moves</th><th>late</th><th>hopeless</th><th>overloaded</th><th>no upstream</th><th>failed</th><th>lost</th><th>doubled</th><th>cut</th></tr>
{{range .Rows}}<tr><td>{{.Policy}}</td><td>{{printf "%.4f" .Attainment}}</td><td>{{printf "%.5f" .PerAccelerator}}</td><td>{{.MoveCount}}</td><td>{{.Total.Late}}</td><td>{{.Total.Hopeless}}</td><td>{{.Total.Overloaded}}</td><td>{{.Total.NoUpstream}}</td><td>{{.Total.Failed}}</td><td>{{.Total.Lost}}</td><td>{{.Total.Doubled}}</td><td>{{.Total.Cut}}</td></tr>
{{end}}</table>
{{.Plot}}
{{end}}
</body>
</html>
`))
