// Package slopes measures how bytes, processor time and memory grow with the size
// of the data that processes hold and send. It runs in memory and on the loopback
// interface.
package slopes

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Slope is a linear fit of a cost measured at several sizes.
type Slope struct {
	Name string
	// Unit is the unit of the cost: B (also for memory) or µs.
	Unit string
	// Per names the unit of the size.
	Per   string
	Sizes []float64
	Costs []float64
	// PerUnit is the slope of the line, the cost per unit of size, and
	// Intercept is the cost that the line gives for size 0.
	PerUnit, Intercept float64
	// R2 is the coefficient of determination of the fit.
	R2 float64
}

// Measure runs the measurements whose names contain the text, in the order of the
// table.
func Measure(ctx context.Context, text string) ([]Slope, error) {
	var list []Slope
	for _, m := range measurements() {
		if !strings.Contains(m.name, text) {
			continue
		}
		s, err := m.run(ctx)
		if err != nil {
			return list, errors.Wrap(err, m.name)
		}
		list = append(list, s)
	}
	return list, nil
}

// Write writes the slopes as a Markdown table.
func Write(w io.Writer, list []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(t, "| cost\t| per\t| sizes\t| slope\t| intercept\t| r²\t|")
	_, _ = fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, s := range list {
		sizes := make([]string, len(s.Sizes))
		for i, n := range s.Sizes {
			sizes[i] = fmt.Sprint(n)
		}
		_, _ = fmt.Fprintf(t, "| %s\t| %s\t| %s\t| %s %s\t| %s %s\t| %.4f\t|\n",
			s.Name, s.Per, strings.Join(sizes, ", "), formatNumber(s.PerUnit), s.Unit, formatNumber(s.Intercept), s.Unit, s.R2)
	}
	return t.Flush()
}

// formatNumber formats a number with up to three significant digits, or as an
// integer from 100 on.
func formatNumber(x float64) string {
	if math.Abs(x) >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// fit computes the least-squares line through the measured costs.
func (s *Slope) fit() {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy, syy float64
	for i, x := range s.Sizes {
		y := s.Costs[i]
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
		syy += y * y
	}
	dx, dy, dxy := n*sxx-sx*sx, n*syy-sy*sy, n*sxy-sx*sy
	s.PerUnit = dxy / dx
	s.Intercept = (sy - s.PerUnit*sx) / n
	s.R2 = 1
	if dy > 0 {
		s.R2 = dxy * dxy / (dx * dy)
	}
}
