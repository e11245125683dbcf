// Package cmdutil holds what commands share: the factory that hands in what
// they depend on, the operators' client and the printing of results.
package cmdutil

import (
	"net/http"
	"os"
	"time"

	"github.com/capersaddle/capersaddle/pkg/iostreams"
)

// Environment variables that commands read.
const (
	// EnvRouter is the operators' address of a router, IP:port.
	EnvRouter = "CAPERSADDLE_ROUTER"
	// EnvKey is the operators' key.
	EnvKey = "CAPERSADDLE_OPERATOR_KEY"
	// defaultRouter is asked when nothing else is named.
	defaultRouter = "127.0.0.1:8081"
	// clientTimeout bounds one call of an operator's command.
	clientTimeout = 30 * time.Second
)

// Factory hands commands what they depend on, made when asked for.
type Factory struct {
	IOStreams *iostreams.IOStreams
	// Client returns the client for a router's operators' address; an empty
	// address takes the environment's, or the default.
	Client func(address string) *Client
}

// NewFactory returns the factory of the real process.
func NewFactory() *Factory {
	return &Factory{
		IOStreams: iostreams.System(),
		Client: func(address string) *Client {
			return NewClient(firstOf(address, os.Getenv(EnvRouter), defaultRouter), os.Getenv(EnvKey), &http.Client{Timeout: clientTimeout})
		},
	}
}

func firstOf(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}
