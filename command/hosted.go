package command

import (
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/boundedlog"
	"github.com/boragewick/boragewick/hosting"
	"github.com/boragewick/boragewick/platform"
	"github.com/boragewick/boragewick/upstream"
)

func newHosted() *cobra.Command {
	var path, logLevel, bind string
	var metricsPort uint16
	var zoneCost string
	var holdRequests bool
	cmd := &cobra.Command{
		Use:   "hosted",
		Short: "Run one process of a deployment on the users' platform",
		Long: "Run one process of a deployment on the users' platform. The settings file, in the\n" +
			"platform's format, says which services it runs; its path stands in " + platform.SettingsVariable + ".",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			cost, disregardZones, err := parseZoneCost(zoneCost)
			if err != nil {
				return err
			}
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return errors.Wrapf(boragewick.ErrBadSettings, "neither --config nor %s is set", platform.SettingsVariable)
			}
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			var bindAddress netip.Addr
			if bind != "" {
				if bindAddress, err = netip.ParseAddr(bind); err != nil {
					return errors.Mark(errors.Wrap(err, "--bind"), boragewick.ErrBadSettings)
				}
			}
			logger := boundedlog.New(newLogger(cmd.OutOrStdout(), logLevel, "logfmt"))
			stopLogger := runLogger(logger)
			defer stopLogger()
			n := &hosting.Node{
				Settings: s,
				NewAdministrator: func(a boragewick.Administration, knowsPool func(string) bool, logger log.Logger) http.Handler {
					return &platform.Admin{Administration: a, KnowsPool: knowsPool, Logger: logger}
				},
				Decoder:        platform.TableDecoder{},
				Dialect:        platform.HeaderDialect{},
				NewLoader:      func(c *upstream.Client) boragewick.Loader { return &platform.EngineClient{Client: c} },
				NewProbe:       func(c *upstream.Client) boragewick.EngineProbe { return &platform.EngineClient{Client: c} },
				NewMover:       func(c *upstream.Client) boragewick.Mover { return &platform.EngineClient{Client: c} },
				Logger:         logger,
				MetricsPort:    metricsPort,
				ZoneCost:       cost,
				DisregardZones: disregardZones,
				HoldRequests:   holdRequests,
				Bind:           bindAddress,
			}
			if err := n.Build(); err != nil {
				return err
			}
			stop := reloadOnHangup(n, path)
			defer stop()
			return n.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "settings file in place of the one that the platform names")
	cmd.Flags().StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	cmd.Flags().StringVar(&bind, "bind", "", "address to listen at and to connect from, where the settings' addresses are forwarded to it")
	cmd.Flags().Uint16Var(&metricsPort, "metrics-port", 0, "port of /metrics on the process's own address; 0 serves none")
	cmd.Flags().StringVar(&zoneCost, "zone-cost", zoneCostAuto, "what it costs that a request leaves the router's zone beyond the round trip, as the time to its first token that is worth as much, such as 30ms; auto derives it from the route's target latency, where the settings or the endpoints call for it; 0 disregards zones")
	cmd.Flags().BoolVar(&holdRequests, "hold-requests", false, "hold and refuse requests at the router while engines lack room, also where the settings don't ask for it")
	return cmd
}

// zoneCostAuto is the value of --zone-cost that is no duration.
const zoneCostAuto = "auto"

// parseZoneCost returns the cost that the value of --zone-cost sets, and whether zones are
// disregarded. The cost is zero if it is not set.
func parseZoneCost(text string) (cost time.Duration, disregard bool, err error) {
	if text == zoneCostAuto {
		return 0, false, nil
	}
	cost, err = time.ParseDuration(text)
	if err != nil {
		return 0, false, errors.Mark(errors.Wrap(err, "--zone-cost"), boragewick.ErrBadSettings)
	}
	if cost < 0 {
		return 0, false, errors.Wrapf(boragewick.ErrBadSettings, "--zone-cost %s is negative", cost)
	}
	return cost, cost == 0, nil
}

// runLogger writes the logger's lines until stop is called. stop returns once the
// last line is written.
func runLogger(l *boundedlog.Logger) (stop func()) {
	done, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		l.Run(done)
	}()
	return func() {
		close(done)
		<-written
	}
}

// reloadOnHangup reloads the process's settings on each SIGHUP until stop is
// called. Afterwards SIGHUP is ignored, as it would end a process that is about to exit.
func reloadOnHangup(n *hosting.Node, path string) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			s, err := platform.LoadSettings(path)
			if err != nil {
				_ = level.Error(n.Logger).Log("msg", "settings not reloaded", "path", path, "err", err)
				continue
			}
			n.Reload(s)
		}
	}()
	return func() {
		signal.Ignore(syscall.SIGHUP)
		close(hangups)
	}
}
