package loadgen

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/figstile/figstile/state"
)

// plotWidth and plotHeight are the size of one plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WriteSVG draws one row of plots for each service: the cost served to each
// workspace over time, and the fairness gap with its bound.
func (r *Result) WriteSVG(w io.Writer) error {
	var rows [][]*plot.Plot
	for _, s := range r.Services {
		served, err := r.plotServed(s.Name)
		if err != nil {
			return err
		}
		gap, err := r.plotGap(s)
		if err != nil {
			return err
		}
		rows = append(rows, []*plot.Plot{served, gap})
	}
	if len(rows) == 0 {
		return fmt.Errorf("load: nothing to draw")
	}
	canvas := vgsvg.New(2*plotWidth, vg.Length(len(rows))*plotHeight)
	tiles := draw.Tiles{Rows: len(rows), Cols: 2, PadX: vg.Centimeter, PadY: vg.Centimeter}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		for j, area := range row {
			rows[i][j].Draw(area)
		}
	}
	_, err := canvas.WriteTo(w)
	return err
}

func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "cost units"
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

func (r *Result) plotServed(service state.Service) (*plot.Plot, error) {
	p := newPlot(string(service) + ": served")
	for i, workspace := range r.Workspaces {
		line, err := r.newLine(func(s *Sample) float64 { return s.Services[service].Served[i] })
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(workspace), line)
	}
	return p, nil
}

func (r *Result) plotGap(service Service) (*plot.Plot, error) {
	p := newPlot(string(service.Name) + ": fairness gap and its bound")
	gap, err := r.newLine(func(s *Sample) float64 { return s.Services[service.Name].Gap })
	if err != nil {
		return nil, err
	}
	bound, err := r.newLine(func(*Sample) float64 { return service.GapLimit })
	if err != nil {
		return nil, err
	}
	bound.Dashes = plotutil.Dashes(1)
	p.Add(gap, bound)
	return p, nil
}

// newLine returns a line of one value per sample against the time of the sample
// in seconds.
func (r *Result) newLine(value func(*Sample) float64) (*plotter.Line, error) {
	points := make(plotter.XYs, len(r.Samples))
	for i, s := range r.Samples {
		points[i] = plotter.XY{X: s.At.Seconds(), Y: value(s)}
	}
	return plotter.NewLine(points)
}
