package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"

	"valeshift/internal/testbed/model"
)

//go:embed page.html
var pageTemplate string

// pageData is the input of the page's template.
type pageData struct {
	Report *Report
	Charts []chart
}

// chart is one plot on the page.
type chart struct {
	Title string
	SVG   template.HTML
}

// plottedFigure is a figure that the page plots over time, with one value for each second of a run.
type plottedFigure struct {
	title string
	unit  string
	value func(model.Second) float64 // NaN: the second has no value
}

var plottedFigures = []plottedFigure{
	{"Service: weight answered in time, of that offered", "part", servedShare},
	{"Utilization of the backends: mean", "part of capacity",
		func(s model.Second) float64 { return s.MeanUtilization }},
	{"Utilization of the backends: the highest", "part of capacity",
		func(s model.Second) float64 { return s.MaxUtilization }},
	{"Utilization of the backends: standard deviation", "part of capacity",
		func(s model.Second) float64 { return s.UtilizationStdDev }},
	{"Sessions established", "sessions", func(s model.Second) float64 { return float64(s.Sessions) }},
	{"Answered UP", "a second", func(s model.Second) float64 { return float64(s.Established) }},
	{"Rejected (BUSY)", "a second", func(s model.Second) float64 { return float64(s.Rejected) }},
	{"Errored, disconnected or without an answer", "a second", failures},
}

func servedShare(s model.Second) float64 {
	if s.Offered == 0 {
		return math.NaN()
	}
	return s.Served / s.Offered
}

func failures(s model.Second) float64 {
	return float64(s.Errored + s.Disconnected + s.Unanswered)
}

// HTML returns the report as an HTML page, for people. The plots are embedded.
func (r *Report) HTML() ([]byte, error) {
	data := pageData{Report: r}
	for _, f := range plottedFigures {
		svg, err := r.plot(f)
		if err != nil {
			return nil, fmt.Errorf("plot %q: %w", f.title, err)
		}
		data.Charts = append(data.Charts, chart{Title: f.title, SVG: svg})
	}
	page, err := template.New("page").Funcs(template.FuncMap{
		"color": cssColor,
		"ms":    func(millis float64) string { return fmt.Sprintf("%.1f", millis) },
		"s":     func(millis float64) string { return fmt.Sprintf("%.1f s", millis/1000) },
	}).Parse(pageTemplate)
	if err != nil {
		return nil, fmt.Errorf("parse the page's template: %w", err)
	}
	var out bytes.Buffer
	if err := page.Execute(&out, data); err != nil {
		return nil, fmt.Errorf("write the page: %w", err)
	}
	return out.Bytes(), nil
}
