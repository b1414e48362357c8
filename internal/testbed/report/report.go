// Package report writes what runs of one experiment came to: a JSON for programs and one self-contained HTML
// page for people, variants side by side, with the faults marked on the time axis.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"valeshift/internal/testbed/audit"
	"valeshift/internal/testbed/experiment"
	"valeshift/internal/testbed/model"
)

// Run is one variant's run. Times are milliseconds, latencies too.
type Run struct {
	Variant    string                         `json:"variant"`
	How        string                         `json:"how"` // simulated, or on sockets
	Service    float64                        `json:"service"`
	Worst      float64                        `json:"worst-second"`
	Answers    map[string]int                 `json:"answers"`
	Rules      map[string]int                 `json:"rules-broken"`
	Breaks     []string                       `json:"breaks,omitempty"`
	Fallen     int                            `json:"cold-servers-fallen"`
	Recovered  *float64                       `json:"recovered-after-last-fault,omitempty"`
	Categories map[string]map[string]Quantile `json:"categories"` // "setup" and "line"
	Seconds    []model.Second                 `json:"seconds"`
	Late       bool                           `json:"late"` // the machine was too slow: not counted
	Memory     map[int]int64                  `json:"relay-memory,omitempty"`
	CPU        map[int]float64                `json:"relay-cpu-seconds,omitempty"`
}

// Quantile are figures of one histogram.
type Quantile struct {
	Count int64   `json:"count"`
	P50   float64 `json:"P50,omitempty"`
	P99   float64 `json:"P99,omitempty"`
	P999  float64 `json:"P999,omitempty"`
}

// Report is an experiment with its runs.
type Report struct {
	Name  string            `json:"name"`
	Seed  uint64            `json:"seed"`
	Warm  float64           `json:"warm"`
	Marks []model.FaultSpan `json:"faults"`
	Runs  []Run             `json:"runs"`
}

// New starts a report.
func New(x *experiment.Experiment) *Report {
	return &Report{Name: x.Name, Seed: x.Seed, Warm: float64(x.Warmup)}
}

// AddRun takes one run.
func (r *Report) AddRun(x *experiment.Experiment, variant, how string, t *model.Metrics, marks []model.FaultSpan,
	a *audit.Auditor, fallen int) *Run {
	from, to := float64(x.Warmup), float64(x.Length)
	run := Run{Variant: variant, How: how, Service: t.ServedShare(from, to), Worst: 1, Answers: t.Answers,
		Rules: map[string]int{}, Fallen: fallen, Categories: map[string]map[string]Quantile{},
		Seconds: t.Seconds[:min(len(t.Seconds), int(math.Ceil(to/1000)))]}
	for i := int(from / 1000); i < int(to/1000); i++ {
		run.Worst = min(run.Worst, t.ServedShare(float64(i)*1000, float64(i)*1000+1))
	}
	for rule, n := range a.Counts {
		if n > 0 {
			run.Rules[audit.Rule(rule).String()] = n
		}
	}
	for _, b := range a.Violations[:min(len(a.Violations), 20)] {
		run.Breaks = append(run.Breaks, b.String())
	}
	for c := range t.SetupLatency {
		run.Categories[c] = map[string]Quantile{"setup": quantile(t.SetupLatency[c]), "line": quantile(t.LineLatency[c])}
	}
	first, last := math.Inf(1), 0.0
	for _, m := range marks {
		first, last = min(first, m.From), max(last, min(m.To, to))
	}
	if len(marks) > 0 && last < to-1000 {
		if after := t.RecoveryTime(first, last, 0.05); !math.IsInf(after, 1) {
			run.Recovered = &after
		}
	}
	if len(marks) > len(r.Marks) {
		r.Marks = marks
	}
	r.Runs = append(r.Runs, run)
	return &r.Runs[len(r.Runs)-1]
}

func quantile(h *hdrhistogram.Histogram) Quantile {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantile{h.TotalCount(), ms(50), ms(99), ms(99.9)}
}

// JSON is the report for programs.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

//go:embed page.html
var page string

// HTML is the page, with its plots inside.
func (r *Report) HTML() ([]byte, error) {
	type chart struct {
		Title string
		SVG   template.HTML
	}
	var charts []chart
	for _, c := range []struct {
		title, unit string
		of          func(s model.Second) float64
	}{
		{"Service: gain answered in time, of that wanted", "part", func(s model.Second) float64 {
			if s.Offered == 0 {
				return math.NaN()
			}
			return s.Served / s.Offered
		}},
		{"Load of the servers: mean", "part of capacity", func(s model.Second) float64 { return s.MeanUtilization }},
		{"Load of the servers: the fullest", "part of capacity",
			func(s model.Second) float64 { return s.MaxUtilization }},
		{"Load of the servers: standard deviation", "part of capacity", func(s model.Second) float64 {
			return s.UtilizationStdDev
		}},
		{"Links standing", "links", func(s model.Second) float64 { return float64(s.Sessions) }},
		{"Answered UP", "a second", func(s model.Second) float64 { return float64(s.Established) }},
		{"Rejected (BUSY)", "a second", func(s model.Second) float64 { return float64(s.Rejected) }},
		{"Errored, cut off or without an answer", "a second", func(s model.Second) float64 {
			return float64(s.Errored + s.Disconnected + s.Unanswered)
		}},
	} {
		svg, err := r.chart(c.unit, c.of)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.title, err)
		}
		charts = append(charts, chart{c.title, svg})
	}
	t, err := template.New("page").Funcs(template.FuncMap{
		"key": key,
		"ms":  func(v float64) string { return fmt.Sprintf("%.1f", v) },
		"s":   func(v float64) string { return fmt.Sprintf("%.1f s", v/1000) },
	}).Parse(page)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = t.Execute(&out, map[string]any{"Report": r, "Charts": charts})
	return out.Bytes(), err
}

var colors = []color.RGBA{{0x1f, 0x5f, 0xa8, 255}, {0xc2, 0x4a, 0x1c, 255}, {0x2c, 0x8a, 0x4b, 255},
	{0x8a, 0x3f, 0x9c, 255}, {0x8c, 0x7a, 0x12, 255}, {0x55, 0x55, 0x55, 255}}

// key is the color of the run of that number, for the page.
func key(i int) template.CSS {
	c := colors[i%len(colors)]
	return template.CSS(fmt.Sprintf("#%02x%02x%02x", c.R, c.G, c.B))
}

// chart draws one figure over time, a line a run, on a ground on which the faults are marked.
func (r *Report) chart(unit string, of func(model.Second) float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	most := 0.0
	for i, run := range r.Runs {
		var points plotter.XYs
		for at, s := range run.Seconds {
			if v := of(s); !math.IsNaN(v) {
				points = append(points, plotter.XY{X: float64(at) + 0.5, Y: v})
				most = max(most, v)
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = colors[i%len(colors)], vg.Points(1.4)
		p.Add(line)
	}
	most = max(most*1.05, 1e-3)
	p.Y.Min, p.Y.Max = 0, most
	for _, m := range r.Marks {
		to := max(m.To, m.From+150) / 1000
		band, err := plotter.NewPolygon(plotter.XYs{{X: m.From / 1000, Y: 0}, {X: to, Y: 0}, {X: to, Y: most},
			{X: m.From / 1000, Y: most}})
		if err != nil {
			return "", err
		}
		band.Color, band.LineStyle.Width = color.RGBA{0xd0, 0x50, 0x50, 40}, 0
		p.Add(band)
	}
	p.Y.Min, p.Y.Max = 0, most
	canvas := vgsvg.New(vg.Points(620), vg.Points(190))
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 { // the page is one document
		text = text[at:]
	}
	return template.HTML(text), nil
}

// Names are the categories of all runs, in order.
func (r *Report) Names() (all []string) {
	for _, run := range r.Runs {
		for c := range run.Categories {
			if !slices.Contains(all, c) {
				all = append(all, c)
			}
		}
	}
	slices.Sort(all)
	return all
}
