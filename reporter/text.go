package reporter

import (
	"bufio"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

const microsPerSecond = 1e6

var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// namePrefix is the prefix of all metric names.
const namePrefix = "burdocklink_"

// WriteText writes all metrics in the Prometheus text format.
func (r *Reporter) WriteText(to io.Writer) error {
	out := &writer{Writer: bufio.NewWriter(to)}
	r.mu.RLock()
	classes := maps.Clone(r.classes)
	subscribers := maps.Clone(r.subscribers)
	r.mu.RUnlock()
	out.group("class", classes)
	out.group("subscriber", subscribers)
	out.registered(r.registry)
	return out.Flush()
}

type writer struct{ *bufio.Writer }

// group writes the metrics of all series with the label.
func (w *writer) group(label string, byName map[string]*series) {
	names := slices.Sorted(maps.Keys(byName))
	w.timings(label, "first_token_seconds", names, byName, firstTokenOf)
	w.timings(label, "between_tokens_seconds", names, byName, betweenTokensOf)
	w.timings(label, "whole_seconds", names, byName, wholeOf)
	w.results(label, names, byName)
	w.counters(label, "tokens_total", names, byName, tokensOf)
	w.counters(label, "target_met_total", names, byName, metOf)
	w.counters(label, "target_counted_total", names, byName, countedOf)
}

func firstTokenOf(s *series) *durationSummary    { return s.firstToken }
func betweenTokensOf(s *series) *durationSummary { return s.betweenTokens }
func wholeOf(s *series) *durationSummary         { return s.whole }
func tokensOf(s *series) metrics.Counter         { return s.tokens }
func metOf(s *series) metrics.Counter            { return s.met }
func countedOf(s *series) metrics.Counter        { return s.counted }
func metricName(label, name string) string       { return namePrefix + label + "_" + name }

func (w *writer) timings(label, suffix string, names []string, byName map[string]*series, pick func(*series) *durationSummary) {
	metric := metricName(label, suffix)
	w.kind(metric, "summary")
	for _, name := range names {
		timing := pick(byName[name])
		values := timing.histogram.Snapshot().Percentiles(quantiles)
		for i, quantile := range quantiles {
			labels := formatLabel(label, name) + "," + formatLabel("quantile", formatFloat(quantile))
			w.line(metric, labels, formatFloat(values[i]/microsPerSecond))
		}
		w.line(metric+"_sum", formatLabel(label, name), formatFloat(float64(timing.sum.Count())/microsPerSecond))
		w.line(metric+"_count", formatLabel(label, name), formatInt(timing.count.Count()))
	}
}

func (w *writer) results(label string, names []string, byName map[string]*series) {
	metric := metricName(label, "requests_total")
	w.kind(metric, "counter")
	for _, name := range names {
		for _, result := range allResults {
			labels := formatLabel(label, name) + "," + formatLabel("result", result.String())
			w.line(metric, labels, formatInt(byName[name].results[result].Count()))
		}
	}
}

func (w *writer) counters(label, suffix string, names []string, byName map[string]*series, pick func(*series) metrics.Counter) {
	metric := metricName(label, suffix)
	w.kind(metric, "counter")
	for _, name := range names {
		w.line(metric, formatLabel(label, name), formatInt(pick(byName[name]).Count()))
	}
}

// registered writes the counters and gauges of the registry.
func (w *writer) registered(registry metrics.Registry) {
	found := map[string]any{}
	registry.Each(func(name string, metric any) { found[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(found)) {
		metric := namePrefix + strings.NewReplacer("-", "_", ".", "_").Replace(name)
		switch kept := found[name].(type) {
		case metrics.Counter:
			w.kind(metric, "counter")
			w.line(metric, "", formatInt(kept.Count()))
		case metrics.Gauge:
			w.kind(metric, "gauge")
			w.line(metric, "", formatInt(kept.Value()))
		case metrics.GaugeFloat64:
			w.kind(metric, "gauge")
			w.line(metric, "", formatFloat(kept.Value()))
		}
	}
}

func (w *writer) kind(metric, kind string) {
	w.write("# TYPE ", metric, " ", kind, "\n")
}

func (w *writer) line(metric, labels, value string) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	w.write(metric, labels, " ", value, "\n")
}

func (w *writer) write(parts ...string) {
	for _, part := range parts {
		// bufio.Writer keeps the first error and returns it from Flush
		_, _ = w.WriteString(part)
	}
}

var labelEscape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func formatLabel(label, value string) string {
	return label + `="` + labelEscape.Replace(value) + `"`
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func formatInt(value int64) string { return strconv.FormatInt(value, 10) }
