package record

import (
	"image/color"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 12 * vg.Centimeter
	// barWidthFraction is the fraction of the width of an interval that its bar takes.
	barWidthFraction = 0.8
)

// Draw writes a stacked bar chart of the problems over time, by cause: the windows that
// long-running jobs lost, and other events. The extension of the file determines the format: .svg,
// .png or .pdf.
func (r *Record) Draw(file string) error {
	if len(r.Intervals) == 0 {
		return errors.New("no intervals to draw")
	}
	p := plot.New()
	p.Title.Text = "Windows lost and signs of trouble, by cause"
	p.X.Label.Text = "seconds from the first line"
	p.Y.Label.Text = "in an interval"
	p.Legend.Top = true
	colors, err := causeColors()
	if err != nil {
		return err
	}
	if err := r.addBars(p, colors); err != nil {
		return err
	}
	return errors.Wrap(p.Save(chartWidth, chartHeight, file), "picture")
}

// causeColors returns a color for each cause. No palette has as many colors as there are causes.
func causeColors() ([]color.Color, error) {
	const paired, dark = 12, 8
	first, err := brewer.GetPalette(brewer.TypeQualitative, "Paired", paired)
	if err != nil {
		return nil, errors.Wrap(err, "color palette")
	}
	second, err := brewer.GetPalette(brewer.TypeQualitative, "Dark2", dark)
	if err != nil {
		return nil, errors.Wrap(err, "color palette")
	}
	return slices.Concat(first.Colors(), second.Colors()), nil
}

// addBars adds a stacked series of bars for each cause that occurs.
func (r *Record) addBars(p *plot.Plot, colors []color.Color) error {
	seconds := 1.0
	if len(r.Intervals) > 1 {
		seconds = r.Intervals[1].From.Sub(r.Intervals[0].From).Seconds()
	}
	width := chartWidth * barWidthFraction / vg.Length(len(r.Intervals)+1)
	var below *plotter.BarChart
	for c := Working + 1; c < numCauses; c++ {
		values, occurs := r.countsByInterval(c)
		if !occurs {
			continue
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Wrapf(err, "bars for cause %v", c)
		}
		bars.Color = colors[c]
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(c.String(), bars)
	}
	p.X.Tick.Marker = plot.TickerFunc(func(low, high float64) []plot.Tick {
		return intervalTicks(len(r.Intervals), seconds)
	})
	return nil
}

// countsByInterval returns the counts of a cause by interval, and reports whether it occurs.
func (r *Record) countsByInterval(c Cause) (plotter.Values, bool) {
	values := make(plotter.Values, len(r.Intervals))
	occurs := false
	for i := range r.Intervals {
		values[i] = float64(r.Intervals[i].Events[c] + r.Intervals[i].LostWindows[c])
		occurs = occurs || values[i] > 0
	}
	return values, occurs
}

// tickSeconds is the time between two labels of the time axis.
const tickSeconds = 10

// intervalTicks labels the intervals, which have whole numbers as positions, with seconds.
func intervalTicks(intervals int, seconds float64) []plot.Tick {
	var ticks []plot.Tick
	for at := 0.0; at <= float64(intervals)*seconds; at += tickSeconds {
		ticks = append(ticks, plot.Tick{Value: at / seconds, Label: strconv.Itoa(int(at))})
	}
	return ticks
}
