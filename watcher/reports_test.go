package watcher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/cataloger"
	"burdocklink/estimator"
	"burdocklink/watcher"
)

func TestEngineReportMarksUpstreamAsLeavingBeforeList(t *testing.T) {
	live := cataloger.Upstream{Name: "u", Incarnation: "2", State: cataloger.UpstreamLive}
	leaving := live
	leaving.State = cataloger.UpstreamLeaving
	cases := map[string]struct {
		report estimator.Report
		want   []cataloger.Change
	}{
		"this incarnation": {
			report: estimator.Report{Upstream: "u", Incarnation: "2", Leaving: true},
			want:   []cataloger.Change{cataloger.PutUpstream{Upstream: leaving}},
		},
		"an earlier incarnation": {
			report: estimator.Report{Upstream: "u", Incarnation: "1", Leaving: true},
		},
		"not leaving": {
			report: estimator.Report{Upstream: "u", Incarnation: "2"},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			catalog := catalogWith(t, cataloger.PutUpstream{Upstream: live})
			changes := watcher.CompareReports(catalog, map[string]estimator.Report{"u": test.report})
			assert.DeepEqual(t, changes, test.want)
		})
	}
}
