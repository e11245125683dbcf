package external

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// VersionHeader is the header with a value's version.
	VersionHeader = "Capersaddle-Store-Version"
	// MaxValue limits one stored value, in bytes.
	MaxValue = 1 << 20
)

// HTTPStore is a client of the key-value service over HTTP.
type HTTPStore struct {
	// Base is the service's address, http://IP:port.
	Base   string
	Client *http.Client
}

func (s *HTTPStore) keyURL(key string, query url.Values) string {
	address := s.Base + "/v1/kv/" + url.PathEscape(key)
	if len(query) == 0 {
		return address
	}
	return address + "?" + query.Encode()
}

// call sends one request and maps the status codes with a definite outcome to errors.
func (s *HTTPStore) call(ctx context.Context, method, address string, body []byte) (Value, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return Value{}, errors.Wrap(err, "make request")
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return Value{}, errors.Wrap(err, "call store")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxValue+1))
	if err != nil {
		return Value{}, errors.Wrap(err, "read store's answer")
	}
	if len(data) > MaxValue {
		return Value{}, errors.Newf("the store's answer is over %d bytes", MaxValue)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Value{}, ErrNotFound
	case http.StatusPreconditionFailed:
		return Value{}, ErrVersion
	default:
		return Value{}, errors.Newf("store answered %d", response.StatusCode)
	}
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	return Value{Data: data, Version: version}, errors.Wrap(err, "read version")
}

// Get reads a value.
func (s *HTTPStore) Get(ctx context.Context, key string) (Value, error) {
	return s.call(ctx, http.MethodGet, s.keyURL(key, nil), nil)
}

// Put writes a value if the key's version is base.
func (s *HTTPStore) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	query := url.Values{"base": {strconv.FormatUint(base, 10)}}
	value, err := s.call(ctx, http.MethodPut, s.keyURL(key, query), data)
	return value.Version, err
}

// Delete removes a value.
func (s *HTTPStore) Delete(ctx context.Context, key string) error {
	_, err := s.call(ctx, http.MethodDelete, s.keyURL(key, nil), nil)
	return err
}

// Watch waits until the key's version differs from known.
func (s *HTTPStore) Watch(ctx context.Context, key string, known uint64) (Value, error) {
	query := url.Values{"watch": {strconv.FormatUint(known, 10)}}
	return s.call(ctx, http.MethodGet, s.keyURL(key, query), nil)
}
