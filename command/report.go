package command

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/burn"
	"github.com/boragewick/boragewick/burnreport"
	"github.com/boragewick/boragewick/operatorclient"
)

// outputHTML is the value of --output that writes the report as one HTML page.
const outputHTML = "html"

func newReport() *cobra.Command {
	cmd := &cobra.Command{Use: "report", Short: "Write reports", Args: cobra.ArbitraryArgs, RunE: showHelp}
	cmd.AddCommand(newBurn())
	return cmd
}

func newBurn() *cobra.Command {
	var routers []string
	var tokenFile, output, first string
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report the service-level burn over all routers that --operator names",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != outputText && output != outputJSON && output != outputHTML {
				return errors.Mark(errors.Newf("--output is %q; want text, json or html", output), errUsage)
			}
			clients, err := newClients(routers, tokenFile)
			if err != nil {
				return err
			}
			r, err := collectBurn(cmd.Context(), clients, boragewick.Objective(first))
			if err != nil {
				return err
			}
			return writeReport(cmd.OutOrStdout(), &r, output)
		},
	}
	cmd.Flags().StringSliceVar(&routers, "operator", []string{"http://127.0.0.1:8090"}, "addresses of the routers' operator APIs")
	cmd.Flags().StringVar(&tokenFile, "token-file", "", "file that holds the operator's token")
	cmd.Flags().StringVar(&output, "output", outputText, "text, json or html")
	cmd.Flags().StringVar(&first, "first", "", "objective that orders the report: first_token, between_tokens, availability or refusals; the first router's setting without it")
	mustRequire(cmd, "token-file")
	return cmd
}

func newClients(routers []string, tokenFile string) ([]*operatorclient.Client, error) {
	var clients []*operatorclient.Client
	for _, address := range routers {
		f := operatorFlags{address: address, tokenFile: tokenFile, output: outputText}
		c, err := f.client()
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	if len(clients) == 0 {
		return nil, errors.Mark(errors.New("--operator names no router"), errUsage)
	}
	return clients, nil
}

// collectBurn merges the counts of all routers into one report.
func collectBurn(ctx context.Context, clients []*operatorclient.Client, first boragewick.Objective) (burnreport.Report, error) {
	var m burn.Meter
	for n, c := range clients {
		reply, err := c.Burn(ctx)
		if err != nil {
			return burnreport.Report{}, err
		}
		if err := m.Merge(reply.Counts); err != nil {
			return burnreport.Report{}, err
		}
		if n == 0 {
			m.Objectives = reply.Objectives
			first = cmp.Or(first, reply.First)
		}
	}
	now := time.Now()
	r := burnreport.Report{At: now, Objectives: m.Objectives, Levels: m.Levels(now)}
	if first != "" {
		sortByBudgetLeft(r.Levels, first)
	}
	return r, setWorkspaceNames(ctx, clients[0], r.Levels)
}

// sortByBudgetLeft sorts the series so that those with the least budget left for
// the objective come first.
func sortByBudgetLeft(levels []boragewick.ServiceLevel, first boragewick.Objective) {
	slices.SortStableFunc(levels, func(a, b boragewick.ServiceLevel) int {
		return cmp.Compare(budgetLeft(&a, first), budgetLeft(&b, first))
	})
}

func budgetLeft(l *boragewick.ServiceLevel, o boragewick.Objective) float64 {
	for _, b := range l.Burns {
		if b.Objective == o {
			return b.BudgetLeft
		}
	}
	return 1
}

// setWorkspaceNames sets the name of each series to the names of its workspace.
func setWorkspaceNames(ctx context.Context, c *operatorclient.Client, levels []boragewick.ServiceLevel) error {
	reply, err := c.Get(ctx, boragewick.KindWorkspace, "")
	if err != nil {
		return err
	}
	names := map[boragewick.ID]string{}
	for _, o := range reply.Objects {
		names[o.ID] = o.Names.String()
	}
	for i := range levels {
		levels[i].Name = names[levels[i].Workspace]
	}
	return nil
}

func writeReport(w io.Writer, r *burnreport.Report, output string) error {
	switch output {
	case outputJSON:
		return r.JSON(w)
	case outputHTML:
		return r.HTML(w)
	default:
		return r.Text(w)
	}
}
