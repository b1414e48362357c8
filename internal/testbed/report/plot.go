package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"valeshift/internal/testbed/model"
)

const (
	plotWidth    = vg.Length(620) // in points
	plotHeight   = vg.Length(190) // in points
	lineWidth    = vg.Length(1.4) // in points
	minFaultBand = 150.0          // minimum width of a fault's band in milliseconds, so that it can be seen
	topMargin    = 1.05           // top of the Y axis, as a multiple of the highest value
	minTop       = 1e-3           // lowest top of the Y axis, for runs whose values are all zero
)

// runColors are the colors of the runs' lines. They repeat if there are more runs.
var runColors = []color.RGBA{
	{0x1f, 0x5f, 0xa8, 255},
	{0xc2, 0x4a, 0x1c, 255},
	{0x2c, 0x8a, 0x4b, 255},
	{0x8a, 0x3f, 0x9c, 255},
	{0x8c, 0x7a, 0x12, 255},
	{0x55, 0x55, 0x55, 255},
}

var faultColor = color.RGBA{0xd0, 0x50, 0x50, 40}

func runColor(run int) color.RGBA { return runColors[run%len(runColors)] }

// cssColor returns a run's color in CSS notation, by the run's index.
func cssColor(run int) template.CSS {
	c := runColor(run)
	return template.CSS(fmt.Sprintf("#%02x%02x%02x", c.R, c.G, c.B))
}

// plot returns an SVG image that plots one figure over time, with a line for each run and a band for each fault.
func (r *Report) plot(f plottedFigure) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = f.unit
	highest, err := r.addLines(p, f)
	if err != nil {
		return "", err
	}
	top := max(highest*topMargin, minTop)
	if err := r.addFaults(p, top); err != nil {
		return "", err
	}
	p.Y.Min = 0
	p.Y.Max = top
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 { // leaves out the XML prolog, as the image is embedded
		text = text[at:]
	}
	return template.HTML(text), nil
}

// addLines adds a line for each run that has values of the figure, and returns the highest of them.
func (r *Report) addLines(p *plot.Plot, f plottedFigure) (highest float64, err error) {
	for i, run := range r.Runs {
		points := seriesOf(run.Seconds, f)
		if len(points) == 0 {
			continue
		}
		for _, point := range points {
			highest = max(highest, point.Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return 0, err
		}
		line.Color = runColor(i)
		line.Width = lineWidth
		p.Add(line)
	}
	return highest, nil
}

// seriesOf returns the values of the figure, each in the middle of its second. Seconds without a value are left out.
func seriesOf(seconds []model.Second, f plottedFigure) (points plotter.XYs) {
	for i, s := range seconds {
		if v := f.value(s); !math.IsNaN(v) {
			points = append(points, plotter.XY{X: float64(i) + 0.5, Y: v})
		}
	}
	return points
}

// addFaults adds a band of the height top for each fault.
func (r *Report) addFaults(p *plot.Plot, top float64) error {
	for _, f := range r.Faults {
		from := f.From / 1000
		to := max(f.To, f.From+minFaultBand) / 1000
		band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return err
		}
		band.Color = faultColor
		band.LineStyle.Width = 0
		p.Add(band)
	}
	return nil
}
