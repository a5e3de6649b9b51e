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

// Measures of the plots in SVG units.
const (
	plotWidth  = 320
	labelWidth = 100
	barHeight  = 14
	barStep    = 20
	// plotRates is the burn rate at the right end of a plot.
	plotRates = 20.0
)

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"title":   title,
	"summary": summary,
	"words":   words,
	"percent": percent,
	"budget":  budgetBars,
	"rates":   rateBars,
	"height":  func(bars []bar) int { return len(bars)*barStep + barStep/2 },
	"width":   func() int { return plotWidth },
	"label":   func() int { return labelWidth - 6 },
	"one":     func() int { return labelWidth + scale(1) },
}).Parse(page))

// bar is one bar of a plot.
type bar struct {
	X, Y, Width, Height, TextY int
	Label, Value, Class        string
}

// HTML writes the report as one page with plots in SVG.
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

// newBar returns the bar in the row.
func newBar(row, width int, label, value, class string) bar {
	y := row * barStep
	return bar{
		X: labelWidth, Y: y, Width: width, Height: barHeight, TextY: y + barHeight - 3,
		Label: label, Value: value, Class: class,
	}
}

// budgetBars returns a bar for the budget that each objective has left.
func budgetBars(l boragewick.ServiceLevel) []bar {
	var bars []bar
	for i, b := range l.Burns {
		left := max(0, min(1, b.BudgetLeft))
		width := int(left * (plotWidth - labelWidth))
		bars = append(bars, newBar(i, width, words(string(b.Objective)), percent(b.BudgetLeft), class(left, b)))
	}
	return bars
}

// class returns how to colour the budget.
func class(left float64, b boragewick.Burn) string {
	const low = 0.25
	for _, r := range b.Rates {
		if r.Firing {
			return "bad"
		}
	}
	switch {
	case left <= 0:
		return "bad"
	case left < low:
		return "low"
	default:
		return "good"
	}
}

// rateBars returns a bar for each pair of windows of the objective. Both
// windows must burn for an alarm, so that the bar shows the slower of the two.
func rateBars(b boragewick.Burn) []bar {
	var bars []bar
	for i, r := range b.Rates {
		kind := "good"
		if r.Firing {
			kind = "bad"
		}
		bars = append(bars, newBar(i, scale(min(r.Short, r.Long)), r.Windows, fmt.Sprintf("%.1f/%.1f", r.Short, r.Long), kind))
	}
	return bars
}

// scale returns the length of a burn rate on a logarithmic axis.
func scale(rate float64) int {
	share := math.Log1p(rate) / math.Log1p(plotRates)
	return int(min(1, share) * (plotWidth - labelWidth))
}
