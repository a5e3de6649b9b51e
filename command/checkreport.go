package command

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"

	"github.com/boragewick/boragewick/platform"
	"github.com/boragewick/boragewick/tablecheck"
)

// checkReport is the result of check-config.
type checkReport struct {
	File   string      `json:"file"`
	Counts checkCounts `json:"counts"`
	// Compared reports whether the document was compared with the version in force, and
	// InForceError is why that could not be read; empty if it was or need not be.
	Compared     bool           `json:"compared"`
	InForceError string         `json:"in_force_error,omitempty"`
	Findings     []checkFinding `json:"findings"`
}

// checkCounts are the numbers of findings by severity.
type checkCounts struct {
	Errors   int `json:"errors"`
	Warnings int `json:"warnings"`
	Notes    int `json:"notes"`
	Changes  int `json:"changes"`
}

// checkFinding is one finding.
type checkFinding struct {
	Severity string `json:"severity"`
	What     string `json:"what"`
	// Place is where in the document the finding is, such as routes[3].timeoutMs; empty if
	// unknown.
	Place string `json:"place,omitempty"`
}

// newCheckReport returns the report of the findings, the most severe ones first.
func newCheckReport(file string, findings []tablecheck.Finding) *checkReport {
	r := &checkReport{File: file, Findings: []checkFinding{}}
	for _, of := range []struct {
		severity string
		count    *int
	}{
		{tablecheck.Error, &r.Counts.Errors},
		{tablecheck.Warning, &r.Counts.Warnings},
		{tablecheck.Note, &r.Counts.Notes},
		{tablecheck.Change, &r.Counts.Changes},
	} {
		for i := range findings {
			if f := &findings[i]; f.Severity == of.severity {
				*of.count++
				r.Findings = append(r.Findings, newCheckFinding(f))
			}
		}
	}
	return r
}

// decoderPlace matches the place with which the decoder's errors and warnings begin.
var decoderPlace = regexp.MustCompile(`^(?:configuration: )?((?:routes|services|tenants)\[\d+\]|version|limits): `)

func newCheckFinding(f *tablecheck.Finding) checkFinding {
	text := f.What
	if f.Where != "" {
		text = f.Where + ": " + text
	}
	place := platform.TableDecoder{}.Place(f.Kind, f.Index, f.Field)
	if m := decoderPlace.FindStringSubmatch(text); place == "" && m != nil {
		place = m[1]
	}
	return checkFinding{Severity: f.Severity, What: printable(text), Place: place}
}

// write writes the report in the format.
func (r *checkReport) write(w io.Writer, format string) error {
	if format == outputJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s: %s\n", f.Severity, f.What)
	}
	fmt.Fprintf(w, "%s: %d errors, %d warnings, %d notes", r.File, r.Counts.Errors, r.Counts.Warnings, r.Counts.Notes)
	if r.Compared {
		fmt.Fprintf(w, ", %d changes", r.Counts.Changes)
	} else if r.InForceError != "" {
		fmt.Fprint(w, ", not compared with the version in force")
	}
	fmt.Fprintln(w)
	return nil
}
