package command

import (
	"bytes"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

// operatorFlags holds the flags that commands calling the operator API share.
type operatorFlags struct {
	address   string
	tokenFile string
	output    string
}

func (f *operatorFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "operator", "http://127.0.0.1:8090", "address of the operator API")
	cmd.Flags().StringVar(&f.tokenFile, "token-file", "", "file that holds the operator's token")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
	mustRequire(cmd, "token-file")
}

func (f *operatorFlags) client() (*operatorclient.Client, error) {
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "--token-file"), errUsage)
	}
	if f.output != outputText && f.output != outputJSON {
		return nil, errors.Mark(errors.Newf("--output is %q; want text or json", f.output), errUsage)
	}
	base := f.address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &operatorclient.Client{Base: base, Token: string(bytes.TrimSpace(token))}, nil
}

func newPlan() *cobra.Command {
	var f operatorFlags
	var path string
	cmd := &cobra.Command{
		Use:   "plan -f INTENT",
		Short: "Show what an intent would change and store it as a plan",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			text, err := readInput(cmd.InOrStdin(), path)
			if err != nil {
				return err
			}
			reply, err := c.Plan(cmd.Context(), text)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), reply, func(w io.Writer) { printPlan(w, &reply) })
		},
	}
	f.add(cmd)
	cmd.Flags().StringVarP(&path, "file", "f", "", "intent file, or - for standard input")
	mustRequire(cmd, "file")
	return cmd
}

func readInput(stdin io.Reader, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(stdin)
	}
	text, err := os.ReadFile(path)
	return text, errors.Mark(err, errUsage)
}

func newConfirm() *cobra.Command {
	var f operatorFlags
	var wait bool
	cmd := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Bring a plan in force; again gives the first answer",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			d, err := c.Confirm(cmd.Context(), boragewick.ID(args[0]))
			if err != nil {
				return err
			}
			if wait {
				if err := awaitInForce(cmd.Context(), c, d.Revision); err != nil {
					return err
				}
			}
			return f.print(cmd.OutOrStdout(), d, func(w io.Writer) { printDecision(w, &d) })
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the plan is in force at every router")
	return cmd
}

func newGet() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "get KIND [REF]",
		Short: "List the objects of a kind, or show one with its history",
		Args: func(cmd *cobra.Command, args []string) error {
			return errors.Mark(cobra.RangeArgs(1, 2)(cmd, args), errUsage)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			ref := ""
			if len(args) == 2 {
				ref = args[1]
			}
			reply, err := c.Get(cmd.Context(), boragewick.Kind(args[0]), ref)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), reply, func(w io.Writer) { printObjects(w, &reply) })
		},
	}
	f.add(cmd)
	return cmd
}

func newStatus() *cobra.Command {
	var f operatorFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show control replicas, routers and endpoints, and the revision in force",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			reply, err := c.Status(cmd.Context())
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), reply, func(w io.Writer) { printStatus(w, &reply) })
		},
	}
	f.add(cmd)
	return cmd
}
