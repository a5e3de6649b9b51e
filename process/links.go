package process

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/certfiles"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/leader"
	"github.com/boragewick/boragewick/ws"
)

// linkDrainTimeout is how long a shutdown keeps links open for their last frames.
const linkDrainTimeout = time.Second

// connectControl creates the links to the control replicas.
func (p *Process) connectControl() {
	for _, r := range p.Settings.Control.Replicas {
		p.replicas = append(p.replicas, p.link(r))
	}
	p.leader = &leader.Peer{Replicas: p.replicas}
}

// loadCertificates configures mutual TLS for the links if the settings name
// certificates.
func (p *Process) loadCertificates() error {
	if !p.Settings.TLS() {
		return nil
	}
	files := certfiles.Files{Authority: p.Settings.Links.Authority, Instance: p.Settings.Links.Certificate}
	server, err := files.Server()
	if err != nil {
		return errors.Wrap(err, "[links] certificate_file")
	}
	p.linkTLS = server
	p.transport.TLS = files.Client
	return nil
}

func (p *Process) buildLinkServer() error {
	if p.LinkListener == nil && !p.Settings.Links.Listen.IsValid() {
		return nil
	}
	l, err := listener(p.LinkListener, p.Settings.Links.Listen.String())
	if err != nil {
		return errors.Wrap(err, "[links] listen")
	}
	p.server.Transport = p.transport
	mux := http.NewServeMux()
	mux.Handle(ws.Path, p.server)
	h := &httpserver.Server{
		Listener:      l,
		Handler:       mux,
		TLS:           p.linkTLS,
		DrainTimeout:  linkDrainTimeout,
		NoReadTimeout: true,
	}
	p.kernel.Register("links", boragewick.ServiceFunc(func(ctx context.Context) error {
		return p.server.RunAndDrain(ctx, h, linkDrainTimeout)
	}))
	return nil
}

// serverTLS returns the TLS configuration of a listener for callers or
// operators, or nil if no certificate is set.
func serverTLS(certificate, key string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil
	}
	load := func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certificate, key)
		return &c, errors.Mark(err, boragewick.ErrBadSettings)
	}
	if _, err := load(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: load}, nil
}
