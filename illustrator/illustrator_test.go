package illustrator_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/experimenter"
	"burdocklink/illustrator"
)

func TestWritePageHasATableAndAPlotForEachCase(t *testing.T) {
	timeline := []experimenter.Point{{At: 0, Attainment: 1}, {At: 10 * time.Second, Attainment: 0.5}}
	results := []experimenter.Result{
		{Deployment: "d", Case: "calm", Policy: "default", Timeline: timeline},
		{Deployment: "d", Case: "shift", Policy: "default", Timeline: timeline},
		{Deployment: "d", Case: "calm", Policy: "round-robin", Timeline: timeline},
	}
	var page bytes.Buffer

	assert.NilError(t, illustrator.WritePage(&page, results))

	text := page.String()
	assert.Equal(t, strings.Count(text, "<svg"), 2)
	assert.Equal(t, strings.Count(text, "<td>default</td>"), 2)
	assert.Equal(t, strings.Count(text, "<td>round-robin</td>"), 1)
	assert.Assert(t, !strings.Contains(text, "http://") || !strings.Contains(text, "<script"))
}
