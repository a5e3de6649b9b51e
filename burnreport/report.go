// Package burnreport writes the service-level burn as text, as JSON and as one
// HTML page that needs nothing else.
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

// Report is the burn of all series at one instant.
type Report struct {
	At         time.Time
	Objectives boragewick.Objectives
	// Levels come in the order in which they are written.
	Levels []boragewick.ServiceLevel
}

// document is the JSON form of a report.
type document struct {
	At         time.Time                 `json:"at"`
	Objectives goals                     `json:"objectives"`
	Levels     []boragewick.ServiceLevel `json:"levels"`
}

// goals is the JSON form of the objectives.
type goals struct {
	FirstTokenWithin    float64 `json:"first_token_within_ms"`
	BetweenTokensWithin float64 `json:"between_tokens_within_ms"`
	InTime              float64 `json:"in_time"`
	Available           float64 `json:"available"`
	Admitted            float64 `json:"admitted"`
}

// document returns the JSON form.
func (r Report) document() document {
	o := r.Objectives.WithDefaults()
	d := document{At: r.At, Levels: r.Levels, Objectives: goals{
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

// millis returns the duration in milliseconds.
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
	head := "\tobjective\tbad\tof\tbudget left\t"
	if len(burns) > 0 {
		for _, p := range burns[0].Rates {
			head += "burn " + p.Windows + "\t"
		}
	}
	_, _ = fmt.Fprintln(t, head)
	for _, b := range burns {
		_, _ = fmt.Fprintf(t, "\t%s\t%d\t%d\t%s\t", words(string(b.Objective)), b.Bad, b.Total, percent(b.BudgetLeft))
		for _, p := range b.Rates {
			_, _ = fmt.Fprintf(t, "%s\t", rates(p))
		}
		_, _ = fmt.Fprintln(t)
	}
	_ = t.Flush()
}

// goal returns the objectives in words.
func (r Report) goal() string {
	d := r.document().Objectives
	return fmt.Sprintf("Objectives: %s of first tokens within %.0f ms and of gaps within %.0f ms; %s available, %s not refused within the rate",
		percent(d.InTime), d.FirstTokenWithin, d.BetweenTokensWithin, percent(d.Available), percent(d.Admitted))
}

// title names the series.
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

// summary tells the waits and what used the budgets up.
func summary(l boragewick.ServiceLevel) string {
	s := fmt.Sprintf("%d requests, first token p95 %.0f ms, between tokens p95 %.0f ms", l.Requests, l.FirstTokenP95, l.BetweenTokensP95)
	var parts []string
	for _, c := range l.Causes {
		parts = append(parts, fmt.Sprintf("%s %d", words(string(c.Cause)), c.Count))
	}
	if len(parts) > 0 {
		s += "; burned by " + strings.Join(parts, ", ")
	}
	return s
}

// words returns a name in words.
func words(name string) string { return strings.ReplaceAll(name, "_", " ") }

// percent returns the share as a percentage.
func percent(share float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", share*100), ".0") + "%"
}

// rates returns both burn rates, marked when they fire.
func rates(p boragewick.BurnRates) string {
	s := fmt.Sprintf("%.1f/%.1f", p.Short, p.Long)
	if p.Firing {
		s += "!"
	}
	return s
}
