package command

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/standin/modelengine"
	"github.com/boragewick/boragewick/standin/plainservice"
)

// standinDrainTimeout is how long a shutdown waits for the stand-in's running
// requests to end.
const standinDrainTimeout = time.Second

func newStandin() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "standin model|plain",
		Short: "Run a stand-in of an endpoint, to try a deployment out",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var h http.Handler
			switch boragewick.EndpointKind(args[0]) {
			case boragewick.EndpointModel:
				h = &modelengine.Engine{}
			case boragewick.EndpointPlain:
				h = &plainservice.Service{}
			default:
				return errors.Mark(errors.Newf("%q is neither model nor plain", args[0]), errUsage)
			}
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errors.Mark(errors.Wrap(err, "--listen"), errUsage)
			}
			cmd.Println("stand-in listens on " + l.Addr().String())
			s := &httpserver.Server{Listener: l, Handler: h, DrainTimeout: standinDrainTimeout, NoReadTimeout: true}
			return s.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address; port 0 picks one")
	return cmd
}
