// Package burnreport writes a report of the service-level burn as text, as JSON
// or as one self-contained HTML page.
package burnreport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Report is the service-level burn of all series at one instant.
type Report struct {
	At         time.Time
	Objectives boragewick.Objectives
	// Levels are written in this order.
	Levels []boragewick.ServiceLevel
}

// document is the JSON form of a report.
type document struct {
	At         time.Time                 `json:"at"`
	Objectives objectivesDocument        `json:"objectives"`
	Levels     []boragewick.ServiceLevel `json:"levels"`
}

// objectivesDocument is the JSON form of the objectives.
type objectivesDocument struct {
	FirstTokenWithin    float64 `json:"first_token_within_ms"`
	BetweenTokensWithin float64 `json:"between_tokens_within_ms"`
	InTime              float64 `json:"in_time"`
	Available           float64 `json:"available"`
	Admitted            float64 `json:"admitted"`
}

func (r Report) document() document {
	o := r.Objectives.WithDefaults()
	d := document{At: r.At, Levels: r.Levels, Objectives: objectivesDocument{
		FirstTokenWithin:    millis(o.FirstTokenWithin),
		BetweenTokensWithin: millis(o.BetweenTokensWithin),
		InTime:              o.InTime,
		Available:           o.Available,
		Admitted:            o.Admitted,
	}}
	if d.Levels == nil {
		d.Levels = []boragewick.ServiceLevel{}
	}
	return d
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// JSON writes the report as one JSON object.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r.document()), "write the burn report")
}

// Text writes the report as a table for terminals.
func (r Report) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Service-level burn at %s\n%s\n", r.At.UTC().Format(time.RFC3339), r.goal())
	for i, l := range r.Levels {
		fmt.Fprintf(&b, "\n%d. %s\n", i+1, title(l))
		fmt.Fprintf(&b, "   %s\n", summary(l))
		writeBurns(&b, l.Burns)
	}
	if len(r.Levels) == 0 {
		b.WriteString("\nNo requests.\n")
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write the burn report")
}

// writeBurns writes one line for each objective.
func writeBurns(w io.Writer, burns []boragewick.Burn) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "\tobjective\tbad\tof\tbudget left\t"
	if len(burns) > 0 {
		for _, p := range burns[0].Rates {
			header += "burn " + p.Windows + "\t"
		}
	}
	_, _ = fmt.Fprintln(t, header)
	for _, b := range burns {
		_, _ = fmt.Fprintf(t, "\t%s\t%d\t%d\t%s\t", spaced(string(b.Objective)), b.Bad, b.Total, formatPercent(b.BudgetLeft))
		for _, p := range b.Rates {
			_, _ = fmt.Fprintf(t, "%s\t", formatRates(p))
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
}

// goal describes the objectives in one sentence.
func (r Report) goal() string {
	d := r.document().Objectives
	return fmt.Sprintf("Objectives: %s of first tokens within %.0f ms and of gaps within %.0f ms; %s available, %s not refused within the rate",
		formatPercent(d.InTime), d.FirstTokenWithin, d.BetweenTokensWithin, formatPercent(d.Available), formatPercent(d.Admitted))
}

// title returns a heading for the series: its workspace, route and model.
func title(l boragewick.ServiceLevel) string {
	name := l.Name
	if name == "" {
		name = string(l.Workspace)
	}
	if l.Series == (boragewick.Series{}) {
		name = "all others"
	}
	for _, part := range []string{string(l.Route), l.Model} {
		if part != "" {
			name += ", " + part
		}
	}
	return name
}

// summary describes the latencies and the causes that consumed the error
// budgets.
func summary(l boragewick.ServiceLevel) string {
	s := fmt.Sprintf("%d requests, first token p95 %.0f ms, between tokens p95 %.0f ms", l.Requests, l.FirstTokenP95, l.BetweenTokensP95)
	var parts []string
	for _, c := range l.Causes {
		parts = append(parts, fmt.Sprintf("%s %d", spaced(string(c.Cause)), c.Count))
	}
	if len(parts) > 0 {
		s += "; burned by " + strings.Join(parts, ", ")
	}
	return s
}

// spaced replaces the underscores of a name by blanks.
func spaced(name string) string { return strings.ReplaceAll(name, "_", " ") }

func formatPercent(share float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", share*100), ".0") + "%"
}

// formatRates returns the burn rates of the short and the long window, with an
// exclamation mark if the alarm fires.
func formatRates(p boragewick.BurnRates) string {
	s := fmt.Sprintf("%.1f/%.1f", p.Short, p.Long)
	if p.Firing {
		s += "!"
	}
	return s
}
