package process

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/agents"
	"github.com/boragewick/boragewick/allowance"
	"github.com/boragewick/boragewick/caller"
	"github.com/boragewick/boragewick/claimlog"
	"github.com/boragewick/boragewick/ejector"
	"github.com/boragewick/boragewick/follow"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/operator"
	"github.com/boragewick/boragewick/picker"
	"github.com/boragewick/boragewick/retry"
	"github.com/boragewick/boragewick/router"
	"github.com/boragewick/boragewick/unrepeatable"
	"github.com/boragewick/boragewick/view"
)

// minSecretBytes is the length of the shortest accepted hash secret.
const minSecretBytes = 16

// firstConfigTimeout is how long a starting router keeps callers waiting for its
// first configuration before it answers without one.
const firstConfigTimeout = 5 * time.Second

// operatorDrainTimeout is how long a shutdown waits for running operator calls.
const operatorDrainTimeout = 10 * time.Second

// loadHasher reads the secret of the keyed hash from its file.
func (p *Process) loadHasher() (boragewick.KeyHasher, error) {
	path := p.Settings.Keys.HashSecretFile
	secret, err := os.ReadFile(path)
	if err != nil {
		return boragewick.KeyHasher{}, errors.Wrapf(boragewick.ErrBadSettings, "[keys] hash_secret_file: %s", err)
	}
	secret = bytes.TrimSpace(secret)
	if len(secret) < minSecretBytes {
		return boragewick.KeyHasher{}, errors.Wrapf(boragewick.ErrBadSettings, "[keys] hash_secret_file: %s is shorter than %d bytes", path, minSecretBytes)
	}
	return boragewick.KeyHasher{Secret: secret}, nil
}

func (p *Process) buildCaller() error {
	hasher, err := p.loadHasher()
	if err != nil {
		return err
	}
	s := p.Settings.Caller
	l, err := listener(p.CallerListener, s.Listen.String())
	if err != nil {
		return errors.Wrap(err, "[caller] listen")
	}
	tls, err := serverTLS(s.Certificate, s.Key)
	if err != nil {
		return errors.Wrap(err, "[caller] certificate_file")
	}
	v := &view.View{Clock: p.Clock}
	pool := &agents.Pool{Dialer: p.Dialer, Hello: p.hello}
	selector := &ejector.Ejector{Selector: &picker.Picker{Prober: pool, Clock: p.Clock}, Clock: p.Clock}
	v.Observe(selector)
	v.Observe(pool)
	limiter := allowance.New(rateOwner{p.leader}, p.hello.Instance, p.hello.Incarnation, p.Clock)
	server := &httpserver.Server{
		Listener:     l,
		TLS:          tls,
		DrainTimeout: s.DrainTimeout,
		Handler: &caller.Handler{
			View:    v,
			Hasher:  hasher,
			Limiter: limiter,
			Dispatcher: &router.Router{
				Selector:    selector,
				Observer:    selector,
				RetryBudget: &retry.Budget{Clock: p.Clock},
				Sender: &unrepeatable.Sender{
					Next:    pool,
					Claims:  claimlog.Log{Leader: p.leader},
					Revoker: pool,
					Clock:   p.Clock,
				},
				Clock: p.Clock,
			},
			Watcher:           &p.meter,
			Traces:            &p.traces,
			Metrics:           p.metrics,
			Clock:             p.Clock,
			Logger:            p.Logger,
			MaxBodyBytes:      s.MaxBodyBytes,
			FirstTokenTimeout: s.FirstTokenTimeout,
		},
	}
	p.kernel.Register("caller", boragewick.ServiceFunc(func(ctx context.Context) error {
		v.AwaitFresh(ctx, p.Clock.Now().Add(firstConfigTimeout))
		return server.Run(ctx)
	}))
	p.kernel.Register("rates", limiter)
	p.kernel.Register("follow", &follow.Follower{
		Instance: p.hello.Instance,
		View:     v,
		Replicas: p.replicas,
		Clock:    p.Clock,
		Logger:   p.Logger,
		FreshFor: p.Settings.Control.FreshFor,
	})
	p.readyChecks = append(p.readyChecks, func() error {
		if !v.FreshUntil().After(p.Clock.Now()) {
			return errors.Wrap(boragewick.ErrStaleConfig, "no fresh configuration")
		}
		return nil
	})
	return nil
}

// rateOwner requests rate grants from the leading control replica.
type rateOwner struct {
	leader boragewick.Peer
}

// Grant implements boragewick.RateOwner.
func (o rateOwner) Grant(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	var g boragewick.Grant
	err := boragewick.Call(ctx, o.leader, boragewick.MethodGrant, r, &g)
	return g, err
}

func (p *Process) buildOperator() error {
	s := p.Settings
	tokens, err := operator.LoadTokens(s.Operator.TokensFile)
	if err != nil {
		return errors.Wrap(err, "[operator] tokens_file")
	}
	l, err := listener(p.OperatorListener, s.Operator.Listen.String())
	if err != nil {
		return errors.Wrap(err, "[operator] listen")
	}
	tls, err := serverTLS(s.Operator.Certificate, s.Operator.Key)
	if err != nil {
		return errors.Wrap(err, "[operator] certificate_file")
	}
	o := &operator.API{
		Control:       p.leader,
		Tokens:        tokens,
		Metrics:       p.metrics,
		Meter:         &p.meter,
		Traces:        &p.traces,
		SortObjective: boragewick.Objective(s.Report.OrderBy),
		Logger:        p.Logger,
		Ready:         p.Ready,
	}
	p.kernel.Register("operator", &httpserver.Server{
		Listener:     l,
		TLS:          tls,
		DrainTimeout: operatorDrainTimeout,
		Handler:      o.Handler(),
	})
	return nil
}
