package command

import (
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick/dev"
	"github.com/boragewick/boragewick/process"
	"github.com/boragewick/boragewick/settings"
)

func newRun() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run -c FILE",
		Short: "Run the services that a settings file names",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			p := &process.Process{Settings: s, Logger: newLogger(cmd.ErrOrStderr(), s.Log.Level, s.Log.Format)}
			if err := p.Build(); err != nil {
				return err
			}
			return p.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "settings file")
	mustRequire(cmd, "config")
	return cmd
}

func newCheck() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check -c FILE",
		Short: "Check a settings file",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(path); err != nil {
				return err
			}
			cmd.Println(path + ": ok")
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "settings file")
	mustRequire(cmd, "config")
	return cmd
}

func newDev() *cobra.Command {
	var d dev.Dev
	var caller, operator, logLevel, logFormat string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run the whole system on loopback addresses with stand-ins for endpoints",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if d.Caller, err = netip.ParseAddrPort(caller); err != nil {
				return errors.Mark(errors.Wrap(err, "--caller"), errUsage)
			}
			if d.Operator, err = netip.ParseAddrPort(operator); err != nil {
				return errors.Mark(errors.Wrap(err, "--operator"), errUsage)
			}
			d.Out = cmd.OutOrStdout()
			d.Logger = newLogger(cmd.ErrOrStderr(), logLevel, logFormat)
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&caller, "caller", "127.0.0.1:8080", "address towards callers; port 0 picks one")
	cmd.Flags().StringVar(&operator, "operator", "127.0.0.1:8090", "address towards operators; port 0 picks one")
	cmd.Flags().StringVar(&d.Data, "data", "", "folder that keeps the state; a temporary one without it")
	cmd.Flags().StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	cmd.Flags().StringVar(&logFormat, "log-format", "logfmt", "logfmt or json")
	return cmd
}

func newLogger(w io.Writer, levelName, format string) log.Logger {
	w = log.NewSyncWriter(w)
	logger := log.NewLogfmtLogger(w)
	if format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(levelName, level.InfoValue())))
}

func mustRequire(cmd *cobra.Command, flag string) {
	if err := cmd.MarkFlagRequired(flag); err != nil {
		panic(err)
	}
}
