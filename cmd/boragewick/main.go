// Command boragewick routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:          "boragewick",
		Short:        "Route language-model traffic with long shared prompts",
		SilenceUsage: true,
	}
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
