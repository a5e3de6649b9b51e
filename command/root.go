// Package command implements the command line.
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
)

// Version is the version that the command line prints.
const Version = "0.1.0"

const exitCodesHelp = `Exit codes:
  0  done
  1  failed
  2  wrong usage, settings, intent or name
  3  unknown object or plan, or version in force not read
  4  plan stale: plan again
  5  plan expired: plan again
  6  plan already decided by another operator
  7  name taken, object in use or membership change not allowed
  8  operator token missing or wrong
  9  not reachable or not ready: try again`

// errorExitCodes lists the exit codes of errors; the first match applies.
var errorExitCodes = []struct {
	err  error
	code int
}{
	{errUsage, 2},
	{errNotRead, 3},
	{boragewick.ErrBadSettings, 2},
	{boragewick.ErrBadIntent, 2},
	{boragewick.ErrBadName, 2},
	{boragewick.ErrUnknownObject, 3},
	{boragewick.ErrUnknownPlan, 3},
	{boragewick.ErrPlanStale, 4},
	{boragewick.ErrPlanExpired, 5},
	{boragewick.ErrPlanDecided, 6},
	{boragewick.ErrNameTaken, 7},
	{boragewick.ErrObjectInUse, 7},
	{boragewick.ErrBadMembership, 7},
	{boragewick.ErrUnauthenticated, 8},
	{boragewick.ErrLinkLost, 9},
	{boragewick.ErrTimeout, 9},
	{boragewick.ErrNotLeader, 9},
	{boragewick.ErrStaleConfig, 9},
}

// errUsage marks errors of the command line itself.
var errUsage = errors.New("wrong usage")

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	root.PrintErrln("boragewick: " + err.Error())
	return exitCode(err)
}

func exitCode(err error) int {
	for _, e := range errorExitCodes {
		if errors.Is(err, e.err) {
			return e.code
		}
	}
	return 1
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "boragewick",
		Short:         "Route language-model traffic with long shared prompts",
		Long:          "Route language-model traffic with long shared prompts.\n\n" + exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		// Marks a missing required flag as wrong usage.
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return errors.Mark(cmd.ValidateRequiredFlags(), errUsage)
		},
		Args: cobra.ArbitraryArgs,
		RunE: showHelp,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	root.AddCommand(newDev(), newRun(), newCheck(), newCheckConfig(), newPlan(), newConfirm(), newGet(), newStatus(), newBench(), newExplain(), newControl(), newReport(), newCerts(), newStandin(), newSlopes(), newHosted(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			cmd.Println("boragewick " + Version)
			return nil
		},
	}
}

// showHelp runs a command that only groups subcommands.
func showHelp(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return errors.Mark(errors.Newf("unknown command %q for %q", args[0], cmd.CommandPath()), errUsage)
	}
	return cmd.Help()
}

// exactArgs accepts exactly n arguments; any other number is wrong usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return errors.Mark(cobra.ExactArgs(n)(cmd, args), errUsage)
	}
}
