package command

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick/bench"
	"github.com/boragewick/boragewick/live"
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
	cmd.AddCommand(newLive())
	return cmd
}

func newLive() *cobra.Command {
	r := live.Run{}
	var scenarios []string
	var output string
	cmd := &cobra.Command{
		Use:   "live",
		Short: "Drive recorded requests through the real services with stand-ins as engines",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != outputText && output != outputJSON {
				return errors.Mark(errors.Newf("--output is %q; want text or json", output), errUsage)
			}
			var results []live.Result
			for _, r.Scenario = range scenarios {
				result, err := r.Do(cmd.Context())
				if err != nil {
					return err
				}
				results = append(results, result)
			}
			if output == outputJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(results)
			}
			return live.WriteTable(cmd.OutOrStdout(), results)
		},
	}
	cmd.Flags().StringVar(&r.Deployment, "deployment", "khambhatia", "omuramba or khambhatia")
	cmd.Flags().StringSliceVar(&scenarios, "scenario", live.Scenarios, "scenarios")
	cmd.Flags().Uint64Var(&r.Seed, "seed", 1, "seed of the requests")
	cmd.Flags().DurationVar(&r.Length, "length", 15*time.Second, "how much of the recorded minute is driven")
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
