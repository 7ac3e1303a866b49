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

// ContentType is the media type of the text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

const microsPerSecond = 1e6

var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// names of metrics before the label that they are kept by.
const namePrefix = "burdocklink_"

// WriteText writes all counts in the Prometheus text format.
func (r *Reporter) WriteText(to io.Writer) error {
	out := &writer{Writer: bufio.NewWriter(to)}
	r.mu.RLock()
	classes := maps.Clone(r.classes)
	subscribers := maps.Clone(r.subscribers)
	r.mu.RUnlock()
	out.group("class", classes)
	out.group("subscriber", subscribers)
	out.others(r.registry)
	return out.Flush()
}

type writer struct{ *bufio.Writer }

// group writes the metrics that are kept by one label.
func (w *writer) group(label string, kept map[string]*series) {
	names := slices.Sorted(maps.Keys(kept))
	w.timings(label, "first_token_seconds", names, kept, firstTokenOf)
	w.timings(label, "between_tokens_seconds", names, kept, gapOf)
	w.timings(label, "whole_seconds", names, kept, wholeOf)
	w.results(label, names, kept)
	w.counters(label, "tokens_total", names, kept, tokensOf)
	w.counters(label, "target_met_total", names, kept, metOf)
	w.counters(label, "target_counted_total", names, kept, countedOf)
}

func firstTokenOf(s *series) *timing       { return s.firstToken }
func gapOf(s *series) *timing              { return s.gap }
func wholeOf(s *series) *timing            { return s.whole }
func tokensOf(s *series) metrics.Counter   { return s.tokens }
func metOf(s *series) metrics.Counter      { return s.met }
func countedOf(s *series) metrics.Counter  { return s.counted }
func metricName(label, name string) string { return namePrefix + label + "_" + name }

func (w *writer) timings(label, what string, names []string, kept map[string]*series, pick func(*series) *timing) {
	metric := metricName(label, what)
	w.kind(metric, "summary")
	for _, name := range names {
		timing := pick(kept[name])
		values := timing.histogram.Snapshot().Percentiles(quantiles)
		for i, quantile := range quantiles {
			labels := pair(label, name) + "," + pair("quantile", number(quantile))
			w.line(metric, labels, number(values[i]/microsPerSecond))
		}
		w.line(metric+"_sum", pair(label, name), number(float64(timing.sum.Count())/microsPerSecond))
		w.line(metric+"_count", pair(label, name), whole(timing.count.Count()))
	}
}

func (w *writer) results(label string, names []string, kept map[string]*series) {
	metric := metricName(label, "requests_total")
	w.kind(metric, "counter")
	for _, name := range names {
		for _, result := range allResults {
			labels := pair(label, name) + "," + pair("result", result.String())
			w.line(metric, labels, whole(kept[name].results[result].Count()))
		}
	}
}

func (w *writer) counters(label, what string, names []string, kept map[string]*series, pick func(*series) metrics.Counter) {
	metric := metricName(label, what)
	w.kind(metric, "counter")
	for _, name := range names {
		w.line(metric, pair(label, name), whole(pick(kept[name]).Count()))
	}
}

// others writes the counters and gauges of the registry.
func (w *writer) others(registry metrics.Registry) {
	found := map[string]any{}
	registry.Each(func(name string, metric any) { found[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(found)) {
		metric := namePrefix + strings.NewReplacer("-", "_", ".", "_").Replace(name)
		switch kept := found[name].(type) {
		case metrics.Counter:
			w.kind(metric, "counter")
			w.line(metric, "", whole(kept.Count()))
		case metrics.Gauge:
			w.kind(metric, "gauge")
			w.line(metric, "", whole(kept.Value()))
		case metrics.GaugeFloat64:
			w.kind(metric, "gauge")
			w.line(metric, "", number(kept.Value()))
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
		// the buffer keeps the first failure for Flush
		_, _ = w.WriteString(part)
	}
}

var labelEscape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func pair(label, value string) string {
	return label + `="` + labelEscape.Replace(value) + `"`
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

func whole(value int64) string { return strconv.FormatInt(value, 10) }
