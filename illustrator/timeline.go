package illustrator

import (
	"bytes"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"burdocklink/experimenter"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// drawTimeline returns an SVG plot of the attainment over time with a line for
// each policy.
func drawTimeline(results []experimenter.Result) (template.HTML, error) {
	drawn := plot.New()
	drawn.X.Label.Text = "seconds after the start"
	drawn.Y.Label.Text = "attainment"
	drawn.Y.Min, drawn.Y.Max = 0, 1
	drawn.Legend.Left = true
	for number, result := range results {
		line, err := plotter.NewLine(points(result.Timeline))
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(number)
		line.Dashes = plotutil.Dashes(number)
		drawn.Add(line)
		drawn.Legend.Add(result.Policy, line)
	}
	writer, err := drawn.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	return template.HTML(withoutProlog(image.Bytes())), nil
}

// withoutProlog removes everything before the svg element, as an XML prolog is
// not allowed in HTML.
func withoutProlog(image []byte) []byte {
	at := bytes.Index(image, []byte("<svg"))
	if at < 0 {
		return image
	}
	return image[at:]
}

func points(timeline []experimenter.Point) plotter.XYs {
	line := make(plotter.XYs, 0, len(timeline))
	for _, point := range timeline {
		line = append(line, plotter.XY{X: point.At.Seconds(), Y: point.Attainment})
	}
	return line
}
