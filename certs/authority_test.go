package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

var (
	now   = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	until = now.Add(24 * time.Hour)
)

func TestIssue(t *testing.T) {
	dir := t.TempDir()
	a, err := Create(dir, "nam-central", now, until)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "i1.pem")
	addr := netip.MustParseAddr("192.0.2.7")
	if err := a.Issue(path, "i1", []netip.Addr{addr}, now, until); err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(path, path)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		opts := x509.VerifyOptions{Roots: pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := pair.Leaf.Verify(opts); err != nil {
			t.Errorf("usage %d: %v", usage, err)
		}
	}
	if err := pair.Leaf.VerifyHostname(addr.String()); err != nil || pair.Leaf.Subject.CommonName != "i1" {
		t.Errorf("subject %s, %v", pair.Leaf.Subject, err)
	}
	for _, name := range []string{"i1.pem", AuthorityKeyFile} {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: mode %v, %v", name, info.Mode(), err)
		}
	}
}

func TestAuthorityFolderErrors(t *testing.T) {
	tests := map[string]struct {
		prepare func(dir string) error
		run     func(dir string) error
		want    error
	}{
		"second authority": {create, create, boragewick.ErrNameTaken},
		"none":             {nil, load, boragewick.ErrBadSettings},
		"damaged": {func(dir string) error {
			return errors.CombineErrors(create(dir), os.WriteFile(filepath.Join(dir, AuthorityFile), []byte("x"), 0o600))
		}, load, boragewick.ErrBadSettings},
		"key of another authority": {func(dir string) error {
			other := filepath.Join(dir, "other")
			err := errors.CombineErrors(create(dir), create(other))
			return errors.CombineErrors(err, os.Rename(filepath.Join(other, AuthorityKeyFile), filepath.Join(dir, AuthorityKeyFile)))
		}, load, boragewick.ErrBadSettings},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if tt.prepare != nil {
				if err := tt.prepare(dir); err != nil {
					t.Fatal(err)
				}
			}
			if err := tt.run(dir); !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
		})
	}
}

func create(dir string) error {
	_, err := Create(dir, "test", now, until)
	return err
}

func load(dir string) error {
	_, err := Load(dir)
	return err
}
