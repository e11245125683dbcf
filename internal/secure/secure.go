// Package secure manages the keys of a process: mutual TLS for its links and for operators, and
// signatures of membership datagrams. Hosts store nothing, so keys are given inline in the
// settings or as files that the platform mounts. Files are read again, so that new keys are
// used without dropping a stream.
package secure

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Roles that a certificate can carry, as an organizational unit of its subject.
const (
	// RoleRouter and RoleAgent are the roles of the system's own processes.
	RoleRouter = "router"
	RoleAgent  = "agent"
	// RoleRead may run queries, RoleOperate may also change the configuration, and
	// RoleAdminister may also republish it.
	RoleRead       = "read"
	RoleOperate    = "operate"
	RoleAdminister = "administer"
)

// reloadInterval is the minimum time between two reads of the key files.
const reloadInterval = 30 * time.Second

// Source holds the sources of a process's keys: each field is PEM text, or the path of a file
// that holds it.
type Source struct {
	// CA holds the certificate authorities that peers' certificates must chain to.
	CA string
	// Cert and Key are the certificate and the key of the process.
	Cert string
	Key  string
}

// Set reports whether any key is given.
func (s Source) Set() bool {
	return s.CA != "" || s.Cert != "" || s.Key != ""
}

// Keys holds the keys in use. It is safe for concurrent use.
type Keys struct {
	source Source

	mu       sync.Mutex
	pool     *x509.CertPool
	cert     *tls.Certificate
	loadedAt time.Time
}

// Load reads and checks the keys.
func Load(source Source) (*Keys, error) {
	k := &Keys{source: source}
	if err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// readPEM returns inline text unchanged, or else the content of a file.
func readPEM(field, value string) ([]byte, error) {
	if strings.Contains(value, "-----BEGIN") {
		return []byte(value), nil
	}
	data, err := os.ReadFile(value)
	return data, errors.Wrapf(err, "field %q", field)
}

func (k *Keys) reload() error {
	ca, errCA := readPEM("tls.ca", k.source.CA)
	cert, errCert := readPEM("tls.cert", k.source.Cert)
	key, errKey := readPEM("tls.key", k.source.Key)
	if err := errors.Join(errCA, errCert, errKey); err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return errors.New(`field "tls.ca": holds no certificate in PEM`)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return errors.Wrap(err, `fields "tls.cert" and "tls.key"`)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pool, k.cert, k.loadedAt = pool, &pair, time.Now()
	return nil
}

// current returns the keys, after reading them again if they are old. If the files can't be
// read or don't match, the previous keys stay in use.
func (k *Keys) current() (*x509.CertPool, *tls.Certificate) {
	k.mu.Lock()
	stale := time.Since(k.loadedAt) > reloadInterval
	if stale {
		// Concurrent calls use the previous keys while this one reads.
		k.loadedAt = time.Now()
	}
	k.mu.Unlock()
	if stale {
		_ = k.reload()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pool, k.cert
}

// config returns the configuration of both sides. Certificates are checked against the CA and
// their role, but not for their name, since processes connect to IP addresses.
func (k *Keys) config(roles []string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			_, cert := k.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			_, cert := k.current()
			return cert, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// VerifyConnection replaces the standard check, which would require a name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, roles)
		},
	}
}

// Server returns the configuration of a listener that accepts peers with one of some roles.
func (k *Keys) Server(roles ...string) *tls.Config {
	return k.config(roles)
}

// Client returns the configuration for connections to a peer with one of some roles.
func (k *Keys) Client(roles ...string) *tls.Config {
	return k.config(roles)
}

// verify checks the chain, the dates and the role of a peer's certificate.
func (k *Keys) verify(state tls.ConnectionState, roles []string) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	pool, _ := k.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrap(err, "peer's certificate")
	}
	if !HasRole(state, roles...) {
		return errors.Newf("peer's certificate has the roles %v; one of %v is needed", leaf.Subject.OrganizationalUnit, roles)
	}
	return nil
}

// HasRole reports whether a peer's certificate carries one of some roles.
func HasRole(state tls.ConnectionState, roles ...string) bool {
	if len(state.PeerCertificates) == 0 {
		return false
	}
	return slices.ContainsFunc(state.PeerCertificates[0].Subject.OrganizationalUnit, func(unit string) bool {
		return slices.Contains(roles, unit)
	})
}

// signatureLength is how much of an HMAC-SHA256 is sent with a datagram, in bytes.
const signatureLength = 16

// Signer signs datagrams with a key that all processes share. Without a key it adds no
// signature and accepts every datagram.
type Signer struct {
	key []byte
}

// minKeyBytes is the minimum length of a shared key, in bytes.
const minKeyBytes = 32

// NewSigner parses a hex key; an empty one gives a signer that does nothing.
func NewSigner(hexKey string) (*Signer, error) {
	if hexKey == "" {
		return &Signer{}, nil
	}
	key, err := hex.DecodeString(hexKey)
	if err != nil || len(key) < minKeyBytes {
		return nil, errors.Newf(`field "membership.key": want at least %d bytes in hex`, minKeyBytes)
	}
	return &Signer{key: key}, nil
}

// Overhead returns the size of a signature, in bytes.
func (s *Signer) Overhead() int {
	if len(s.key) == 0 {
		return 0
	}
	return signatureLength
}

func (s *Signer) signature(data []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(data)
	return mac.Sum(nil)[:signatureLength]
}

// Sign returns a datagram followed by its signature.
func (s *Signer) Sign(data []byte) []byte {
	if len(s.key) == 0 {
		return data
	}
	return append(data, s.signature(data)...)
}

// Open returns a datagram without its signature; false if the signature does not match.
func (s *Signer) Open(signed []byte) ([]byte, bool) {
	if len(s.key) == 0 {
		return signed, true
	}
	if len(signed) < signatureLength {
		return nil, false
	}
	data, signature := signed[:len(signed)-signatureLength], signed[len(signed)-signatureLength:]
	return data, hmac.Equal(signature, s.signature(data))
}
