package experiment

import (
	"bytes"
	"html/template"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plottedFamilies are drawn side by side.
var plottedFamilies = []string{PolicyGranitebay, PolicyReactive, PolicyBestStatic, PolicyClairvoyant}

// reportPage holds plots as SVG within the page, so that it opens without a network.
var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{text-align:right;padding:.2em .8em}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
</head><body><h1>{{.Title}}</h1>
<table><tr><th>policy</th><th>variant</th><th>goodput</th><th>role changes</th><th>shed</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Variant}}</td><td>{{.Goodput}}</td><td>{{.RoleChanges}}</td><td>{{.Shed}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))

type reportRow struct {
	Name, Variant, Goodput, Shed string
	RoleChanges                  int
}

type reportPlot struct {
	Title string
	SVG   template.HTML
}

type reportData struct {
	Title string
	Rows  []reportRow
	Plots []reportPlot
}

// writeReport writes a page about one comparison.
func writeReport(file string, c *comparison) error {
	data := reportData{Title: "Goodput through shifts of the mix: " + c.workload.Deployment}
	for _, row := range c.rows() {
		data.Rows = append(data.Rows, reportRow{
			Name: row.variant.family, Variant: row.variant.policy.name, Goodput: percent(row.result.Goodput),
			Shed: percent(row.result.Shed), RoleChanges: row.result.RoleChanges,
		})
	}
	plots, err := reportPlots(c)
	if err != nil {
		return err
	}
	data.Plots = plots
	var page bytes.Buffer
	if err := reportPage.Execute(&page, data); err != nil {
		return errors.Wrap(err, "experiment: fill in the report")
	}
	return errors.Wrap(os.WriteFile(file, page.Bytes(), 0o644), "experiment: write the report")
}

// line is one line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

func reportPlots(c *comparison) ([]reportPlot, error) {
	shown := lo.FilterMap(plottedFamilies, func(family string, _ int) (outcome, bool) {
		return c.best(family), lo.Contains(c.families(), family)
	})
	kinds := []struct {
		title, unit string
		points      func(outcome) plotter.XYs
	}{
		{"Goodput", "share in time", goodputPoints},
		{"Prefill engines", "engines", func(o outcome) plotter.XYs {
			return samplePoints(o, func(s sample) float64 { return float64(s.prefill) })
		}},
		{"Engines out for a change", "engines", func(o outcome) plotter.XYs {
			return samplePoints(o, func(s sample) float64 { return float64(s.changing) })
		}},
		{"Queue", "requests", func(o outcome) plotter.XYs {
			return samplePoints(o, func(s sample) float64 { return float64(s.queued) })
		}},
	}
	var result []reportPlot
	for _, kind := range kinds {
		lines := lo.Map(shown, func(each outcome, _ int) line {
			return line{name: each.variant.family, points: kind.points(each)}
		})
		svg, err := drawPlot(kind.unit, lines)
		if err != nil {
			return nil, err
		}
		result = append(result, reportPlot{Title: kind.title, SVG: svg})
	}
	return result, nil
}

func goodputPoints(o outcome) plotter.XYs {
	return lo.Map(o.goodput, func(each goodputPoint, _ int) plotter.XY {
		return plotter.XY{X: each.at.Seconds(), Y: float64(each.inTime) / float64(max(1, each.offered))}
	})
}

func samplePoints(o outcome, value func(sample) float64) plotter.XYs {
	return lo.Map(o.samples, func(each sample, _ int) plotter.XY {
		return plotter.XY{X: each.at.Seconds(), Y: value(each)}
	})
}

// drawPlot draws lines over time as SVG.
func drawPlot(unit string, lines []line) (template.HTML, error) {
	chart := plot.New()
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = unit
	chart.Legend.Top = true
	for index, each := range lines {
		drawn, err := plotter.NewLine(each.points)
		if err != nil {
			return "", errors.Wrapf(err, "experiment: draw %s", each.name)
		}
		drawn.Color = plotutil.Color(index)
		chart.Add(drawn)
		chart.Legend.Add(each.name, drawn)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", errors.Wrap(err, "experiment: write a plot")
	}
	// The library wrote the SVG; the names in it are the program's own. The header of an XML file has no place in a page.
	_, svg, _ := bytes.Cut(buffer.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}
