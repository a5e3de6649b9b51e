package command

import (
	"net/netip"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick/certs"
)

// Lifetimes of the authority's and the instances' certificates.
const (
	authorityYears    = 10
	certificateMonths = 3
)

func newCerts() *cobra.Command {
	cmd := &cobra.Command{Use: "certs", Short: "Make the certificates of a deployment", Args: cobra.ArbitraryArgs, RunE: showHelp}
	cmd.AddCommand(newAuthority(), newIssue())
	return cmd
}

func newAuthority() *cobra.Command {
	var dir, name string
	cmd := &cobra.Command{
		Use:   "authority --dir DIR --name NAME",
		Short: "Make the deployment's authority in a folder",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			now := time.Now()
			if _, err := certs.Create(dir, name, now, now.AddDate(authorityYears, 0, 0)); err != nil {
				return err
			}
			cmd.Println("authority made in " + dir)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "folder of the authority")
	cmd.Flags().StringVar(&name, "name", "", "name of the deployment")
	mustRequire(cmd, "dir")
	mustRequire(cmd, "name")
	return cmd
}

func newIssue() *cobra.Command {
	var dir, instance, out string
	var addresses []string
	cmd := &cobra.Command{
		Use:   "issue --dir DIR --instance NAME --address IP",
		Short: "Issue or renew an instance's certificate and key, in one PEM file",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []netip.Addr
			for _, text := range addresses {
				a, err := netip.ParseAddr(text)
				if err != nil {
					return errors.Mark(errors.Wrap(err, "--address"), errUsage)
				}
				list = append(list, a)
			}
			authority, err := certs.Load(dir)
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join(dir, instance+".pem")
			}
			now := time.Now()
			if err := authority.Issue(out, instance, list, now, now.AddDate(0, certificateMonths, 0)); err != nil {
				return err
			}
			cmd.Println("certificate and key written to " + out)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "dir", "", "folder of the authority")
	cmd.Flags().StringVar(&instance, "instance", "", "name of the instance")
	cmd.Flags().StringSliceVar(&addresses, "address", nil, "IP address of the instance")
	cmd.Flags().StringVar(&out, "out", "", "file to write; DIR/NAME.pem without it")
	mustRequire(cmd, "dir")
	mustRequire(cmd, "instance")
	mustRequire(cmd, "address")
	return cmd
}
