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

// Authority issues throwaway certificates in memory, for capersaddle dev and
// for tests. It is no replacement for an operator's own authority.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  string
}

// throwawayLife is how long throwaway certificates hold.
const throwawayLife = 30 * 24 * time.Hour

// NewAuthority makes an authority with a fresh key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "capersaddle throwaway authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(throwawayLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "make authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	return &Authority{key: key, cert: cert, pem: encode("CERTIFICATE", der)}, nil
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// Issue makes a certificate of a role that holds from now for some time; a
// negative time makes an expired one.
func (a *Authority) Issue(name, role string, life time.Duration) (Source, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Source{}, errors.Wrap(err, "make key")
	}
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Source{}, errors.Wrap(err, "make serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(life),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Source{}, errors.Wrap(err, "make certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Source{}, errors.Wrap(err, "write key")
	}
	return Source{CA: a.pem, Cert: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", keyDER)}, nil
}
