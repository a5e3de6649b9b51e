package command

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick/bench"
)

func newBench() *cobra.Command {
	var o bench.Options
	var seeds int
	var output string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Compare routing policies on the same recorded requests against modelled engines",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != outputText && output != outputJSON {
				return errors.Mark(errors.Newf("--output is %q; want text or json", output), errUsage)
			}
			o.Seeds = nil
			for n := range seeds {
				o.Seeds = append(o.Seeds, uint64(n+1))
			}
			r, err := bench.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			return writeBench(cmd.OutOrStdout(), &r, output)
		},
	}
	cmd.Flags().StringSliceVar(&o.Deployments, "deployment", nil, "deployments; all without it")
	cmd.Flags().StringSliceVar(&o.Scenarios, "scenario", nil, "scenarios; all without it")
	cmd.Flags().StringSliceVar(&o.Policies, "policy", nil, "policies; all without it")
	cmd.Flags().IntVar(&seeds, "seeds", 5, "number of seeds, from 1 on")
	cmd.Flags().StringVar(&output, "output", outputText, "text or json")
	return cmd
}

func writeBench(w io.Writer, r *bench.Report, output string) error {
	if output == outputText {
		return r.WriteTable(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
