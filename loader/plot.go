package loader

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the work completed in each second, together with the capacity, into the
// file at path. The extension of the file determines the format.
func (g Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Work completed at %d%% load", g.Workload.LoadPercent)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "task seconds completed a second"
	p.Y.Min = 0
	done := make(plotter.XYs, len(g.Timeline))
	capacity := make(plotter.XYs, len(g.Timeline))
	for i, s := range g.Timeline {
		done[i] = plotter.XY{X: float64(i), Y: s.WorkSeconds}
		capacity[i] = plotter.XY{X: float64(i), Y: float64(g.Workload.Slots)}
	}
	if err := plotutil.AddLines(p, "completed", done, "capacity", capacity); err != nil {
		return &Error{Op: "plot", Kind: Failed, Err: err}
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return &Error{Op: "plot " + path, Kind: Failed, Err: err}
	}
	return nil
}
