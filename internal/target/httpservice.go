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

// HTTPService is a client of one server of a plain service.
type HTTPService struct {
	// Base is the server's address, http://IP:port.
	Base   string
	Client *http.Client
}

// unrewindableBody is a request body that net/http can't rewind. A transport resends a request
// with an Idempotency-Key by itself if a kept connection turns out to be dead and the body is
// empty or can be read again. With this body it never does.
type unrewindableBody struct {
	io.Reader
}

// Close does nothing.
func (unrewindableBody) Close() error {
	return nil
}

// Do sends one request. A failure to connect is ErrRefused; after any later failure the request
// may have taken effect.
func (s *HTTPService) Do(ctx context.Context, request ServiceRequest) (ServiceResponse, error) {
	call, err := http.NewRequestWithContext(ctx, request.Method, s.Base+request.Path, unrewindableBody{bytes.NewReader(request.Body)})
	if err != nil {
		return ServiceResponse{}, errors.Wrapf(ErrRefused, "make request: %v", err)
	}
	call.Header = request.Header.Clone()
	call.ContentLength = int64(len(request.Body))
	response, err := withoutRedirects(s.Client).Do(call)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return ServiceResponse{}, errors.Wrapf(ErrRefused, "connect: %v", err)
		}
		return ServiceResponse{}, errors.Wrap(err, "call service")
	}
	return ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: response.Body, RetryAfter: retryAfterOf(response)}, nil
}

// withoutRedirects returns a client that returns a redirect as the answer that it is. Only the caller may send
// another request.
func withoutRedirects(client *http.Client) *http.Client {
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &own
}

// retryAfterOf returns the delay that a target asks for with a 503 response; zero if it asks
// for none. A Retry-After header that is not valid counts as none: the caller gets the response
// unchanged, or its text is part of the error.
func retryAfterOf(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	wait, _ := retryafter.Of(response.Header, time.Now())
	return wait
}
