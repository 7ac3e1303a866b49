package encoder

import (
	"encoding/json"
	"time"

	"burdocklink/experimenter"
)

// TallyLine counts requests by outcome.
type TallyLine struct {
	Requests   int     `json:"requests"`
	Attainment float64 `json:"attainment"`
	Met        int     `json:"met"`
	Late       int     `json:"late"`
	Hopeless   int     `json:"hopeless"`
	Overloaded int     `json:"overloaded"`
	NoUpstream int     `json:"no-upstream"`
	Failed     int     `json:"failed"`
	Lost       int     `json:"lost"`
	Doubled    int     `json:"doubled"`
	Cut        int     `json:"cut"`
}

// ExperimentLine is the result of one case under one policy.
type ExperimentLine struct {
	Deployment     string               `json:"deployment"`
	Case           string               `json:"case"`
	Policy         string               `json:"policy"`
	Seed           uint64               `json:"seed"`
	Total          TallyLine            `json:"total"`
	Classes        map[string]TallyLine `json:"classes"`
	Light          TallyLine            `json:"light"`
	Heavy          TallyLine            `json:"heavy"`
	Accelerators   int                  `json:"accelerators"`
	PerAccelerator float64              `json:"attainment-per-accelerator"`
	Moves          map[string]int       `json:"moves"`
	WarmupMoves    int                  `json:"warmup-moves"`
	Overcommitted  int64                `json:"overcommitted-bytes"`
	Timeline       []PointLine          `json:"timeline"`
}

// PointLine is the attainment of the requests that arrived in one interval.
type PointLine struct {
	AtSeconds  float64 `json:"at-seconds"`
	Attainment float64 `json:"attainment"`
}

// EncodeExperiments returns results as indented JSON.
func EncodeExperiments(results []experimenter.Result) ([]byte, error) {
	lines := make([]ExperimentLine, 0, len(results))
	for _, result := range results {
		lines = append(lines, encodeExperiment(result))
	}
	return json.MarshalIndent(lines, "", "  ")
}

func encodeExperiment(result experimenter.Result) ExperimentLine {
	line := ExperimentLine{
		Deployment:     result.Deployment,
		Case:           result.Case,
		Policy:         result.Policy,
		Seed:           result.Seed,
		Total:          encodeTally(result.Total),
		Classes:        map[string]TallyLine{},
		Light:          encodeTally(result.Light),
		Heavy:          encodeTally(result.Heavy),
		Accelerators:   result.Accelerators,
		PerAccelerator: result.PerAccelerator,
		Moves:          result.Moves,
		WarmupMoves:    result.WarmupMoves,
		Overcommitted:  result.Overcommitted,
	}
	for class, tally := range result.ByClass {
		line.Classes[class] = encodeTally(tally)
	}
	for _, point := range result.Timeline {
		line.Timeline = append(line.Timeline, PointLine{
			AtSeconds:  float64(point.At) / float64(time.Second),
			Attainment: point.Attainment,
		})
	}
	return line
}

func encodeTally(tally experimenter.Tally) TallyLine {
	return TallyLine{
		Requests:   tally.Requests,
		Attainment: tally.Attainment(),
		Met:        tally.Met,
		Late:       tally.Late,
		Hopeless:   tally.Hopeless,
		Overloaded: tally.Overloaded,
		NoUpstream: tally.NoUpstream,
		Failed:     tally.Failed,
		Lost:       tally.Lost,
		Doubled:    tally.Doubled,
		Cut:        tally.Cut,
	}
}
