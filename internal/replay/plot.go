package replay

import (
	"image/color"
	"math"
	"os"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// panels are the plotted columns of a table.
var panels = []struct {
	title string
	value func(t Table, r Result) float64
}{
	{"loads / clairvoyant", func(t Table, r Result) float64 { return float64(r.Loads) / float64(max(1, t.bound())) }},
	{"stalled requests", func(_ Table, r Result) float64 { return float64(max(0, r.Stalls)) }},
	{"batch efficiency", func(_ Table, r Result) float64 { return r.Efficiency }},
	{"worst share", func(_ Table, r Result) float64 { return r.WorstShare }},
	{"wait p95 (s)", func(_ Table, r Result) float64 { return r.P95.Seconds() }},
}

// Plot writes the tables to a PNG file: one row per case, one panel per column.
func Plot(file string, tables []Table) error {
	if len(tables) == 0 {
		return trace.BadParameter("no tables to plot")
	}
	grid := make([][]*plot.Plot, len(tables))
	for i, t := range tables {
		for _, panel := range panels {
			p := plot.New()
			p.Title.Text = t.Case.Name + ": " + panel.title
			var values plotter.Values
			var names []string
			for _, r := range t.Results {
				v := panel.value(t, r)
				if math.IsNaN(v) { // not defined for the policy
					v = 0
				}
				values = append(values, v)
				names = append(names, r.Policy)
			}
			bars, err := plotter.NewBarChart(values, vg.Points(12))
			if err != nil {
				return trace.Wrap(err, "plotting %s", p.Title.Text)
			}
			bars.Horizontal = true
			bars.Color = color.RGBA{R: 200, G: 140, B: 20, A: 255}
			p.Add(bars)
			p.NominalY(names...)
			p.X.Min = 0
			grid[i] = append(grid[i], p)
		}
	}
	img := vgimg.New(vg.Length(len(panels))*4*vg.Inch, vg.Length(len(tables))*3*vg.Inch)
	tiles := draw.Tiles{Rows: len(tables), Cols: len(panels), PadX: vg.Points(10), PadY: vg.Points(10)}
	for i, row := range plot.Align(grid, tiles, draw.New(img)) {
		for j, canvas := range row {
			grid[i][j].Draw(canvas)
		}
	}
	f, err := os.Create(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return trace.Wrap(err, "writing the plot")
	}
	return trace.Wrap(f.Close(), "writing the plot")
}
