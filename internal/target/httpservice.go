package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/retryafter"
)

// HTTPService speaks to one server of a plain service.
type HTTPService struct {
	// Base is the server's address, http://IP:port.
	Base   string
	Client *http.Client
}

// onceBody is a request body that net/http can not rewind. A transport sends a
// request with an Idempotency-Key again by itself when a kept connection turns
// out dead and the body can be had again, or is empty; with this body it never
// does.
type onceBody struct {
	io.Reader
}

// Close does nothing.
func (onceBody) Close() error {
	return nil
}

// Do sends one call. A failure to connect is ErrRefused; any later failure
// leaves it open whether the call took effect.
func (s *HTTPService) Do(ctx context.Context, request ServiceRequest) (ServiceResponse, error) {
	call, err := http.NewRequestWithContext(ctx, request.Method, s.Base+request.Path, onceBody{bytes.NewReader(request.Body)})
	if err != nil {
		return ServiceResponse{}, errors.Wrapf(ErrRefused, "make request: %v", err)
	}
	call.Header = request.Header.Clone()
	call.ContentLength = int64(len(request.Body))
	response, err := s.Client.Do(call)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return ServiceResponse{}, errors.Wrapf(ErrRefused, "connect: %v", err)
		}
		return ServiceResponse{}, errors.Wrap(err, "call service")
	}
	return ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: response.Body, RetryAfter: restIn(response)}, nil
}

// restIn is for how long a target wants nothing that has answered so. What is no time asks
// for none: the caller gets the answer as it is, or its text is in the error.
func restIn(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	rest, _ := retryafter.Of(response.Header, time.Now())
	return rest
}
