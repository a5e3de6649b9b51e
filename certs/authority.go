// Package certs creates the certificates with which the instances of one
// deployment prove themselves to each other (X.509, ECDSA P-256).
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// AuthorityFile holds the authority's certificate; every instance needs it.
	AuthorityFile = "authority.pem"
	// AuthorityKeyFile holds the authority's key; only Issue needs it.
	AuthorityKeyFile = "authority.key"
	// clockSkew is how far an instance's clock may be behind.
	clockSkew = time.Hour
)

// Modes of the files.
const (
	modeDir    os.FileMode = 0o700
	modeSecret os.FileMode = 0o600
	modePublic os.FileMode = 0o644
)

// PEM types.
const (
	typeCertificate = "CERTIFICATE"
	typeKey         = "PRIVATE KEY"
)

// Authority signs the certificates of one deployment's instances.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Create makes an authority that is valid until the instant and stores it in
// the folder, which must not hold one yet.
func Create(dir, name string, now, until time.Time) (*Authority, error) {
	if err := checkNew(dir); err != nil {
		return nil, err
	}
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              until,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	a := &Authority{cert: template, key: key}
	der, err := a.sign(template, key)
	if err != nil {
		return nil, err
	}
	secret, err := encodeKey(key)
	if err != nil {
		return nil, err
	}
	if err := writeFile(filepath.Join(dir, AuthorityKeyFile), secret, modeSecret); err != nil {
		return nil, err
	}
	if err := writeFile(filepath.Join(dir, AuthorityFile), encode(typeCertificate, der), modePublic); err != nil {
		return nil, err
	}
	return Load(dir)
}

// Load reads the authority that Create has stored in the folder.
func Load(dir string) (*Authority, error) {
	der, err := readFile(filepath.Join(dir, AuthorityFile), typeCertificate)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, badFile(AuthorityFile, err)
	}
	der, err = readFile(filepath.Join(dir, AuthorityKeyFile), typeKey)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, badFile(AuthorityKeyFile, err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(cert.PublicKey) {
		return nil, errors.Wrap(boragewick.ErrBadSettings, "the authority's key and certificate don't match")
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue writes a new key and certificate for the instance into one PEM file. An
// earlier file is replaced at once, so that running processes can load it.
func (a *Authority) Issue(path, instance string, addrs []netip.Addr, now, until time.Time) error {
	if instance == "" || len(addrs) == 0 {
		return errors.Wrap(boragewick.ErrBadSettings, "a certificate needs an instance name and addresses")
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: instance},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              until,
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		BasicConstraintsValid: true,
	}
	for _, addr := range addrs {
		template.IPAddresses = append(template.IPAddresses, net.IP(addr.Unmap().AsSlice()))
	}
	der, err := a.sign(template, key)
	if err != nil {
		return err
	}
	secret, err := encodeKey(key)
	if err != nil {
		return err
	}
	return writeFile(path, append(encode(typeCertificate, der), secret...), modeSecret)
}

// sign returns the template's certificate for the key in DER.
func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	return der, errors.Wrap(err, "sign a certificate")
}

// newKey returns a random key.
func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "make a key")
}

// encodeKey returns the key in PEM.
func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode a key")
	}
	return encode(typeKey, der), nil
}

// encode returns one PEM block.
func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
