package secure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// Authority issues throwaway certificates in memory, for capersaddle dev and for tests. It is
// no replacement for an operator's own certificate authority.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  string
}

// certLifetime is the lifetime of throwaway authorities.
const certLifetime = 30 * 24 * time.Hour

// NewAuthority creates an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "capersaddle throwaway authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return &Authority{key: key, cert: cert, pem: encode("CERTIFICATE", der)}, nil
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// Issue creates a certificate with a role that is valid for a lifetime from now; a negative
// lifetime makes an expired one.
func (a *Authority) Issue(name, role string, lifetime time.Duration) (Source, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Source{}, errors.Wrap(err, "generate key")
	}
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Source{}, errors.Wrap(err, "generate serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Source{}, errors.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Source{}, errors.Wrap(err, "encode key")
	}
	return Source{CA: a.pem, Cert: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", keyDER)}, nil
}
