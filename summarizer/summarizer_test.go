package summarizer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"burdocklink/summarizer"
)

// start is the time of the first log line of these tests.
var start = time.Unix(1000, 0).UTC()

func logged(at time.Duration, fields string) string {
	return fmt.Sprintf("  prefix {\"ts\":%q,%s}\n", start.Add(at).Format(time.RFC3339Nano), fields)
}

func request(at time.Duration, fields string) string {
	return logged(at, `"msg":"request","model":"m",`+fields)
}

func TestLossesAreCountedByCause(t *testing.T) {
	cases := map[string]struct {
		fields string
		want   summarizer.Losses
	}{
		"on time":          {`"result":"whole","first-event":0.1`, summarizer.Losses{}},
		"late":             {`"result":"whole","first-event":0.9`, summarizer.Losses{Late: 1}},
		"failed":           {`"result":"failed","error":"the stream broke"`, summarizer.Losses{Failed: 1}},
		"out of time":      {`"result":"refused","error":"target can no longer be met"`, summarizer.Losses{Refused: map[summarizer.Cause]int{summarizer.CauseTarget: 1}}},
		"held nowhere":     {`"result":"refused","error":"no upstream holds m"`, summarizer.Losses{Refused: map[summarizer.Cause]int{summarizer.CauseHolder: 1}}},
		"no configuration": {`"result":"refused","error":"no configuration is in force yet"`, summarizer.Losses{Refused: map[summarizer.Cause]int{summarizer.CauseConfiguration: 1}}},
		"unknown reason":   {`"result":"refused","error":"x"`, summarizer.Losses{Refused: map[summarizer.Cause]int{summarizer.CauseOther: 1}}},
		"of an adapter":    {`"adapter":"a","result":"failed"`, summarizer.Losses{Adapters: true, Failed: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			logs := "not JSON\n{broken\n" + logged(0, `"msg":"leader"`) + request(time.Second, c.fields)
			summary, err := summarizer.Read(strings.NewReader(logs), summarizer.Settings{Target: 500 * time.Millisecond})
			assert.NilError(t, err)
			assert.Equal(t, len(summary.Losses), 1)
			got := *summary.Losses[0]
			c.want.Model, c.want.Requests = "m", 1
			if c.want.Refused == nil {
				c.want.Refused = map[summarizer.Cause]int{}
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against requests of an organisation that are not counted because they name no model,
// and against refusals for the quota that look like others.
func TestOrganisationsAreCountedByCause(t *testing.T) {
	logs := logged(0, `"msg":"quota granted","organisation":"maple","requests":2,"granted":1500`) +
		logged(0, `"msg":"quota granted","organisation":"maple","requests":1,"granted":500.5`) +
		logged(0, `"msg":"quota changed","organisation":"maple"`) +
		logged(0, `"msg":"request","organisation":"maple","result":"whole"`) +
		logged(0, `"msg":"request","organisation":"maple","result":"refused","error":"the quota of maple doesn't cover 900 more units"`) +
		logged(0, `"msg":"request","organisation":"maple","result":"refused","error":"no leader grants units of the quota"`) +
		logged(0, `"msg":"request","organisation":"birch","result":"refused","error":"the key belongs to no organisation"`) +
		logged(0, `"msg":"request","organisation":"birch","result":"failed"`)
	summary, err := summarizer.Read(strings.NewReader(logs), summarizer.Settings{Target: time.Second})
	assert.NilError(t, err)
	assert.DeepEqual(t, summary.Organisations, []*summarizer.OrganisationLosses{
		{Organisation: "birch", Requests: 2, Failed: 1, Refused: map[summarizer.Cause]int{summarizer.CauseKey: 1}},
		{Organisation: "maple", Requests: 3, Refused: map[summarizer.Cause]int{summarizer.CauseQuota: 2}, GrantedUnits: 2000.5},
	})
}

func TestShortageLastsUntilRequestsAreServedAgain(t *testing.T) {
	var logs strings.Builder
	for second := range 8 {
		at := time.Duration(second) * time.Second
		for i := range 20 {
			result := `"result":"whole","first-event":0.1,"took":0.2,"upstream":"e1"`
			if second >= 2 && second < 6 && i < 10 {
				result = `"result":"refused","error":"target can no longer be met"`
			}
			logs.WriteString(request(at+300*time.Millisecond, result))
		}
	}
	logs.WriteString(logged(3*time.Second, `"msg":"copy is drained","model":"n","for":"m","upstream":"e2"`))
	logs.WriteString(logged(4*time.Second, `"msg":"order","action":1,"model":"m","adapter":"","upstream":"e2"`))
	logs.WriteString(request(5500*time.Millisecond, `"result":"whole","first-event":0.2,"took":0.5,"upstream":"e2"`))
	summary, err := summarizer.Read(strings.NewReader(logs.String()), summarizer.Settings{Target: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, len(summary.Shortages), 1)
	got := summary.Shortages[0]
	assert.Equal(t, got.Start, start.Add(2*time.Second))
	assert.Equal(t, got.End, start.Add(6*time.Second))
	assert.Equal(t, got.Refused, 40)
	assert.Assert(t, got.Ordered.Equal(start.Add(3*time.Second)), "%s", got.Ordered)
	assert.Assert(t, got.Served.Equal(start.Add(5200*time.Millisecond)), "%s", got.Served)
	assert.Equal(t, got.Idle, 1.0)
}

func TestTooLongLineIsAnError(t *testing.T) {
	_, err := summarizer.Read(strings.NewReader(strings.Repeat("x", 2<<20)), summarizer.Settings{})
	assert.ErrorType(t, err, &summarizer.ReadError{})
}
