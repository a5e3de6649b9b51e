package burnreport

import (
	_ "embed" // the page
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

//go:embed page.html
var page string

// Dimensions of the plots in SVG units.
const (
	plotWidth  = 320
	labelWidth = 100
	barHeight  = 14
	rowHeight  = 20
	// maxPlotRate is the burn rate at the right end of a plot.
	maxPlotRate = 20.0
)

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"title":   title,
	"summary": summary,
	"words":   spaced,
	"percent": formatPercent,
	"budget":  budgetBars,
	"rates":   rateBars,
	"height":  func(bars []bar) int { return len(bars)*rowHeight + rowHeight/2 },
	"width":   func() int { return plotWidth },
	"label":   func() int { return labelWidth - 6 },
	"one":     func() int { return labelWidth + rateWidth(1) },
}).Parse(page))

// bar is one bar of a plot.
type bar struct {
	X, Y, Width, Height, TextY int
	Label, Value, Class        string
}

// HTML writes the report as one HTML page with SVG plots.
func (r Report) HTML(w io.Writer) error {
	var b strings.Builder
	err := pageTemplate.Execute(&b, struct {
		Report
		Goal string
	}{r, r.goal()})
	if err != nil {
		return errors.Wrap(err, "write the burn report")
	}
	_, err = io.WriteString(w, b.String())
	return errors.Wrap(err, "write the burn report")
}

// newBar returns a bar positioned in the given row of a plot.
func newBar(row, width int, label, value, class string) bar {
	y := row * rowHeight
	return bar{
		X: labelWidth, Y: y, Width: width, Height: barHeight, TextY: y + barHeight - 3,
		Label: label, Value: value, Class: class,
	}
}

// budgetBars returns one bar for each objective, as long as its remaining error
// budget.
func budgetBars(l boragewick.ServiceLevel) []bar {
	var bars []bar
	for i, b := range l.Burns {
		left := max(0, min(1, b.BudgetLeft))
		width := int(left * (plotWidth - labelWidth))
		bars = append(bars, newBar(i, width, spaced(string(b.Objective)), formatPercent(b.BudgetLeft), budgetClass(left, b)))
	}
	return bars
}

// budgetClass returns the CSS class that colours the bar of a budget.
func budgetClass(left float64, b boragewick.Burn) string {
	const lowBudget = 0.25
	for _, r := range b.Rates {
		if r.Firing {
			return "bad"
		}
	}
	switch {
	case left <= 0:
		return "bad"
	case left < lowBudget:
		return "low"
	default:
		return "good"
	}
}

// rateBars returns one bar for each pair of windows of the objective. An alarm
// fires only if both windows burn, so the bar shows the lower of the two rates.
func rateBars(b boragewick.Burn) []bar {
	var bars []bar
	for i, r := range b.Rates {
		class := "good"
		if r.Firing {
			class = "bad"
		}
		bars = append(bars, newBar(i, rateWidth(min(r.Short, r.Long)), r.Windows, fmt.Sprintf("%.1f/%.1f", r.Short, r.Long), class))
	}
	return bars
}

// rateWidth returns the bar length of a burn rate on a logarithmic axis.
func rateWidth(rate float64) int {
	fraction := math.Log1p(rate) / math.Log1p(maxPlotRate)
	return int(min(1, fraction) * (plotWidth - labelWidth))
}
