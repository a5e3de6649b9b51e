package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/boragewick/boragewick"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// print writes v as JSON, or calls text to write it as text with aligned columns.
func (f *operatorFlags) print(w io.Writer, v any, text func(w io.Writer)) error {
	if f.output == outputJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	text(t)
	return t.Flush()
}

func printPlan(w io.Writer, reply *boragewick.PlanReply) {
	p := &reply.Plan
	fmt.Fprintf(w, "plan %s by %s, to be confirmed by %s\n", p.ID, p.Operator, p.Expires.UTC().Format(time.RFC3339))
	for _, c := range p.Changes {
		fmt.Fprintf(w, "%s %s %s (%s)\n", c.Action, c.Object.Kind, c.Object.Names, c.Object.ID)
		for _, d := range c.Fields {
			fmt.Fprintf(w, "  %s\t%s\t-> %s\n", d.Name, orDash(d.Before), orDash(d.After))
		}
	}
	for _, text := range p.Warnings {
		fmt.Fprintf(w, "warning: %s\n", text)
	}
	for _, k := range reply.Keys {
		fmt.Fprintf(w, "key %s is shown only now: %s\n", k.Names, k.Secret)
	}
	fmt.Fprintf(w, "nothing has changed yet; bring it in force with: boragewick confirm %s\n", p.ID)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func printDecision(w io.Writer, d *boragewick.Decision) {
	fmt.Fprintf(w, "plan %s confirmed by %s at %s as revision %d\n",
		d.Plan, d.Operator, d.At.UTC().Format(time.RFC3339), d.Revision.Index)
}

func printObjects(w io.Writer, reply *boragewick.GetReply) {
	fmt.Fprintln(w, "ID\tPATH\tDOTTED\tCODE\tREVISION\tDETAIL")
	for _, o := range reply.Objects {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", o.ID, orDash(o.Names.Path), orDash(o.Names.Dotted), orDash(o.Names.Code), o.Revision, objectDetail(&o))
	}
	for _, h := range reply.History {
		fmt.Fprintf(w, "revision %d: %s by %s at %s with %s\n", h.Revision.Index, h.Action, h.Operator, h.At.UTC().Format(time.RFC3339), h.Plan)
	}
}

func objectDetail(o *boragewick.Object) string {
	switch {
	case o.Workspace != nil:
		return fmt.Sprintf("weight %d", o.Workspace.Weight)
	case o.Key != nil && !o.Key.Expires.IsZero():
		return fmt.Sprintf("of %s until %s", o.Key.Workspace, o.Key.Expires.UTC().Format(time.RFC3339))
	case o.Key != nil:
		return fmt.Sprintf("of %s", o.Key.Workspace)
	case o.Rate != nil:
		return fmt.Sprintf("%d tokens/s, burst %d, of %s", o.Rate.TokensPerSecond, o.Rate.Burst, o.Rate.Workspace)
	case o.Route != nil:
		return fmt.Sprintf("%s%s to pool %s, repeatable %t, open %t", o.Route.Model, o.Route.Prefix, o.Route.Pool, o.Route.Repeatable, o.Route.Open)
	default:
		return ""
	}
}

func printStatus(w io.Writer, s *boragewick.StatusReply) {
	fmt.Fprintf(w, "revision %d, known to be the newest %s ago\n", s.Revision.Index, s.Freshness.Now.Sub(s.Freshness.At).Round(time.Millisecond))
	fmt.Fprintf(w, "control leader %s in term %d, voters %v, learners %v\n", cmp.Or(s.Log.Leader, "none"), s.Log.Term, s.Log.Voters, s.Log.Learners)
	fmt.Fprintln(w, "ROUTER\tREVISION IN FORCE\tSEEN")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%d\t%s\n", i.Name, i.InForce.Index, i.Seen.UTC().Format(time.RFC3339))
	}
	fmt.Fprintln(w, "ENDPOINT\tPOOL\tKIND\tFAILURE DOMAIN\tINCARNATION\tLEAVING\tQUEUED\tRUNNING\tHIT RATE")
	for _, e := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%t\t%d\t%d\t%.1f%%\n", e.Name, e.Pool, e.Kind, e.FailureDomain, e.Incarnation,
			e.Leaving, e.Load.Queued, e.Load.Running, 100*e.Load.HitRate())
	}
}
