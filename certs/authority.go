// Package certs creates the certificates with which the instances of one
// deployment authenticate to each other (X.509, ECDSA P-256).
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
	// AuthorityFile holds the certificate of the authority. Every instance
	// needs it.
	AuthorityFile = "authority.pem"
	// AuthorityKeyFile holds the private key of the authority. Only Issue needs
	// it.
	AuthorityKeyFile = "authority.key"
	// clockSkew backdates the start of validity, so that instances whose clock
	// is behind by up to this much accept the certificate.
	clockSkew = time.Hour
)

const (
	modeDir    os.FileMode = 0o700
	modeSecret os.FileMode = 0o600
	modePublic os.FileMode = 0o644
)

// PEM block types.
const (
	typeCertificate = "CERTIFICATE"
	typeKey         = "PRIVATE KEY"
)

// Authority signs the certificates of one deployment's instances.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Create creates an authority that expires at until and stores it in the
// folder, which must not contain one yet.
func Create(dir, name string, now, until time.Time) (*Authority, error) {
	if err := prepareFolder(dir); err != nil {
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
	if err := writeFile(filepath.Join(dir, AuthorityFile), encodePEM(typeCertificate, der), modePublic); err != nil {
		return nil, err
	}
	return Load(dir)
}

// Load reads the authority that Create stored in the folder.
func Load(dir string) (*Authority, error) {
	der, err := readFile(filepath.Join(dir, AuthorityFile), typeCertificate)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, readError(AuthorityFile, err)
	}
	der, err = readFile(filepath.Join(dir, AuthorityKeyFile), typeKey)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, readError(AuthorityKeyFile, err)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(cert.PublicKey) {
		return nil, errors.Wrap(boragewick.ErrBadSettings, "the authority's key and certificate don't match")
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue writes a new key and certificate for the instance to one PEM file. An
// existing file is replaced atomically, so that running processes can reload it
// at any time.
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
	return writeFile(path, append(encodePEM(typeCertificate, der), secret...), modeSecret)
}

// sign returns the DER encoding of the template's certificate for the key.
func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	return der, errors.Wrap(err, "sign certificate")
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "generate key")
}

// encodeKey returns the PEM encoding of the key.
func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	return encodePEM(typeKey, der), nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
