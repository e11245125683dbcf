// Package cmdutil holds what commands share: the factory that provides their dependencies, the
// operators' client and the printing of results.
package cmdutil

import (
	"net/http"
	"os"
	"time"

	"github.com/capersaddle/capersaddle/internal/httpcheck"
	"github.com/capersaddle/capersaddle/internal/secure"
	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// Environment variables that commands read.
const (
	// EnvRouter is the operators' address of a router, IP:port.
	EnvRouter = "CAPERSADDLE_ROUTER"
	// EnvKey is the operators' key.
	EnvKey = "CAPERSADDLE_OPERATOR_KEY"
	// EnvCA, EnvCert and EnvKeyFile are the operator's certificate, each as PEM text or as the
	// path of a file. If they are set, the router is reached over TLS.
	EnvCA      = "CAPERSADDLE_TLS_CA"
	EnvCert    = "CAPERSADDLE_TLS_CERT"
	EnvKeyFile = "CAPERSADDLE_TLS_KEY"
	// defaultRouter is used if no router is given.
	defaultRouter = "127.0.0.1:8081"
	// clientTimeout limits one request of an operator's command.
	clientTimeout = 30 * time.Second
)

// Factory provides the dependencies of commands, created on demand.
type Factory struct {
	IOStreams *iostreams.IOStreams
	// Client returns the client for the operators' address of a router; an empty address
	// selects the one in the environment, or the default.
	Client func(address string) *Client
	// Gateway returns the client for a gateway's metrics address.
	Gateway func(address string) *GatewayClient
}

// NewFactory returns the factory for normal use.
func NewFactory() *Factory {
	return &Factory{
		IOStreams: iostreams.System(),
		Client: func(address string) *Client {
			return NewClient(firstNonEmpty(address, os.Getenv(EnvRouter), defaultRouter), os.Getenv(EnvKey), newHTTPClient())
		},
		Gateway: func(address string) *GatewayClient {
			return NewGatewayClient(address, &http.Client{Timeout: clientTimeout, Transport: newPlainTransport()})
		},
	}
}

// newHTTPClient returns a client that uses the operator's certificate, if the environment names
// one.
func newHTTPClient() *http.Client {
	client := &http.Client{Timeout: clientTimeout, Transport: newPlainTransport()}
	source := secure.Source{CA: os.Getenv(EnvCA), Cert: os.Getenv(EnvCert), Key: os.Getenv(EnvKeyFile)}
	if !source.Set() {
		return client
	}
	keys, err := secure.Load(source)
	if err != nil {
		client.Transport = failingTransport{err}
		return client
	}
	client.Transport = httpcheck.NewTransport(&http.Transport{TLSClientConfig: keys.Client(secure.RoleRouter, secure.RoleAgent)})
	return client
}

// newPlainTransport returns a transport without TLS.
func newPlainTransport() *httpcheck.Transport {
	return httpcheck.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})
}

// failingTransport fails every request with the error of an unusable certificate.
type failingTransport struct{ err error }

// RoundTrip returns the error.
func (f failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, f.err
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}
