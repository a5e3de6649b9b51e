package command

import (
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick/slopes"
)

func newSlopes() *cobra.Command {
	var only string
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how bytes, processor time and memory grow with size, here and on the loopback",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := slopes.Measure(cmd.Context(), only)
			if err != nil {
				return err
			}
			return slopes.Write(cmd.OutOrStdout(), list)
		},
	}
	cmd.Flags().StringVar(&only, "only", "", "measure only what has this text in its name")
	return cmd
}
