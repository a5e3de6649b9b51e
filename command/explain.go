package command

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
)

func newExplain() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Show why a request went where it went; ask the router that served it",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			t, err := c.Explain(cmd.Context(), boragewick.RequestID(args[0]))
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), t, func(w io.Writer) { printTrace(w, &t) })
		},
	}
	f.add(cmd)
	return cmd
}

func printTrace(w io.Writer, t *boragewick.Trace) {
	fmt.Fprintf(w, "request %s of workspace %s on route %s arrived %s\n", t.Request, t.Workspace, t.Route, t.Arrived.UTC().Format(time.RFC3339Nano))
	if !t.Admitted.IsZero() {
		fmt.Fprintf(w, "admitted within its rate after %s\n", t.Admitted.Sub(t.Arrived).Round(time.Microsecond))
	}
	for n, a := range t.Attempts {
		fmt.Fprintf(w, "attempt %d after %s\n", n+1, a.At.Sub(t.Arrived).Round(time.Microsecond))
		fmt.Fprintln(w, "  ENDPOINT\tFAILURE DOMAIN\tBLOCKS CACHED\tFIRST TOKEN IN\tPROBED")
		for _, c := range a.Candidates {
			fmt.Fprintf(w, "  %s\t%s\t%d\t%s\t%t\n", c.Endpoint, c.FailureDomain, c.Matched, c.FirstToken.Sub(a.At).Round(time.Microsecond), c.Probed)
		}
		if a.Fault != nil {
			fmt.Fprintf(w, "  failed: %s (not run: %t)\n", a.Fault.Message, a.Fault.NotRun)
		}
	}
	if t.Fault != nil {
		fmt.Fprintf(w, "ended with %s: %s\n", t.Fault.Code, t.Fault.Message)
	}
	fmt.Fprintf(w, "ended after %s\n", t.Ended.Sub(t.Arrived).Round(time.Microsecond))
}
