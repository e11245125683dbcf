// Package secure holds the keys of a process: mutual TLS for its links and for
// operators, and a signature for membership datagrams. Hosts keep nothing, so
// keys come inline from settings or from files that the platform mounts; files
// are read again, so that new keys are used without dropping a stream.
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
	// RoleRouter and RoleAgent are the system's own processes.
	RoleRouter = "router"
	RoleAgent  = "agent"
	// RoleRead may ask, RoleOperate may also change the configuration, and
	// RoleAdminister may also republish it.
	RoleRead       = "read"
	RoleOperate    = "operate"
	RoleAdminister = "administer"
)

// rereadEvery is how often key files are looked at again, at most.
const rereadEvery = 30 * time.Second

// Source says where a process's keys are: each field is PEM text, or the path
// of a file that holds it.
type Source struct {
	// CA are the certificates that peers' certificates must come from.
	CA string
	// Cert and Key are the process's own.
	Cert string
	Key  string
}

// Set says whether there are any keys.
func (s Source) Set() bool {
	return s.CA != "" || s.Cert != "" || s.Key != ""
}

// Keys are the keys in use. They are safe for concurrent use.
type Keys struct {
	source Source

	mu       sync.Mutex
	pool     *x509.CertPool
	cert     *tls.Certificate
	loadedAt time.Time
}

// Load reads the keys and checks them.
func Load(source Source) (*Keys, error) {
	k := &Keys{source: source}
	if err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// readPEM gives inline text as it is, or a file's content.
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

// current gives the keys, read anew if they are old. Files that cannot be read
// or do not fit leave the keys before in use.
func (k *Keys) current() (*x509.CertPool, *tls.Certificate) {
	k.mu.Lock()
	old := time.Since(k.loadedAt) > rereadEvery
	if old {
		// Others go on with the keys before while this call reads.
		k.loadedAt = time.Now()
	}
	k.mu.Unlock()
	if old {
		_ = k.reload()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pool, k.cert
}

// config is what both sides use: certificates are checked against the CA and
// their role; names are not, since processes are met by IP number.
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
		// The check below takes the place of the usual one, which would ask
		// for a name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, roles)
		},
	}
}

// Server is the configuration of a listener that takes peers of some roles.
func (k *Keys) Server(roles ...string) *tls.Config {
	return k.config(roles)
}

// Client is the configuration to reach a peer of some roles.
func (k *Keys) Client(roles ...string) *tls.Config {
	return k.config(roles)
}

// verify checks a peer's chain, dates and role.
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

// HasRole says whether a peer's certificate carries one of some roles.
func HasRole(state tls.ConnectionState, roles ...string) bool {
	if len(state.PeerCertificates) == 0 {
		return false
	}
	return slices.ContainsFunc(state.PeerCertificates[0].Subject.OrganizationalUnit, func(unit string) bool {
		return slices.Contains(roles, unit)
	})
}

// signatureLength is how much of an HMAC-SHA256 goes with a datagram, in bytes.
const signatureLength = 16

// Signer signs datagrams with a key that all processes share; without a key it
// changes nothing and accepts all.
type Signer struct {
	key []byte
}

// leastKey is the least length of a shared key, in bytes.
const leastKey = 32

// NewSigner reads a hex key; an empty one gives a signer that does nothing.
func NewSigner(hexKey string) (*Signer, error) {
	if hexKey == "" {
		return &Signer{}, nil
	}
	key, err := hex.DecodeString(hexKey)
	if err != nil || len(key) < leastKey {
		return nil, errors.Newf(`field "membership.key": want at least %d bytes in hex`, leastKey)
	}
	return &Signer{key: key}, nil
}

// Overhead is how many bytes a signature takes.
func (s *Signer) Overhead() int {
	if len(s.key) == 0 {
		return 0
	}
	return signatureLength
}

func (s *Signer) sum(data []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(data)
	return mac.Sum(nil)[:signatureLength]
}

// Sign gives a datagram with its signature behind it.
func (s *Signer) Sign(data []byte) []byte {
	if len(s.key) == 0 {
		return data
	}
	return append(data, s.sum(data)...)
}

// Open gives a datagram without its signature; false if it does not fit.
func (s *Signer) Open(signed []byte) ([]byte, bool) {
	if len(s.key) == 0 {
		return signed, true
	}
	if len(signed) < signatureLength {
		return nil, false
	}
	data, signature := signed[:len(signed)-signatureLength], signed[len(signed)-signatureLength:]
	return data, hmac.Equal(signature, s.sum(data))
}
