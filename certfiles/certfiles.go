// Package certfiles builds configurations for mutual TLS 1.3 from files that may
// be replaced while processes run.
package certfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Files names the PEM files of one instance. They are read again for each
// handshake.
type Files struct {
	// Authority has the certificates of the trusted certificate authorities.
	Authority string
	// Instance has the instance's certificate and key.
	Instance string
}

// IsSet reports whether both files are named.
func (f Files) IsSet() bool { return f.Authority != "" && f.Instance != "" }

// Client returns the configuration for one dial.
func (f Files) Client() (*tls.Config, error) {
	cert, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
	}, nil
}

// Server returns the configuration for a listener that requires client
// certificates.
func (f Files) Server() (*tls.Config, error) {
	c, err := f.handshakeConfig()
	if err != nil {
		return nil, err
	}
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return f.handshakeConfig() }
	return c, nil
}

// handshakeConfig returns the configuration for one accepted connection.
func (f Files) handshakeConfig() (*tls.Config, error) {
	cert, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{cert},
		ClientCAs:              pool,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
		NextProtos:             []string{"http/1.1"},
	}, nil
}

// load reads both files. The error is ErrBadSettings.
func (f Files) load() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(f.Instance, f.Instance)
	if err != nil {
		return cert, nil, errors.Mark(errors.Wrapf(err, "load %s", f.Instance), boragewick.ErrBadSettings)
	}
	b, err := os.ReadFile(f.Authority)
	if err != nil {
		return cert, nil, errors.Mark(errors.Wrapf(err, "load %s", f.Authority), boragewick.ErrBadSettings)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return cert, nil, errors.Wrapf(boragewick.ErrBadSettings, "%s has no certificates", f.Authority)
	}
	return cert, pool, nil
}
