package cmdutil

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/process"
	"github.com/capersaddle/capersaddle/internal/rollout"
)

// GatewayClient is a client of one gateway's metrics address.
type GatewayClient struct {
	address string
	http    *http.Client
}

// NewGatewayClient returns a client for a gateway's metrics address, IP:port.
func NewGatewayClient(address string, client *http.Client) *GatewayClient {
	return &GatewayClient{address: address, http: client}
}

// Rollouts returns the state of roll-outs as the gateway knows it.
func (c *GatewayClient) Rollouts(ctx context.Context) ([]rollout.Status, error) {
	return getList[rollout.Status](ctx, c, process.PathRollouts, "roll-outs")
}

// Targets returns the state of all targets as the gateway sees it.
func (c *GatewayClient) Targets(ctx context.Context) ([]process.TargetStatus, error) {
	return getList[process.TargetStatus](ctx, c, process.PathTargets, "targets")
}

// HeldBack returns the requests that the gateway holds back.
func (c *GatewayClient) HeldBack(ctx context.Context) ([]process.HeldRequest, error) {
	return getList[process.HeldRequest](ctx, c, process.PathQuarantine, "requests")
}

// Lift releases a request that is held back, identified by its fingerprint.
func (c *GatewayClient) Lift(ctx context.Context, fingerprint string) error {
	response, err := c.do(ctx, http.MethodDelete, process.PathQuarantine+"?"+url.Values{process.QueryQuarantine: {fingerprint}}.Encode())
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
	text := strings.TrimSpace(string(body))
	if text == "" {
		text = http.StatusText(response.StatusCode)
	}
	return fault.New(fault.BadRequest, fault.NotRun, "%s: %s", c.address, text)
}

// maxErrorText limits how much of a gateway's error response is read, in bytes.
const maxErrorText = 4096

// getList requests a list; noun describes its items in errors.
func getList[T any](ctx context.Context, c *GatewayClient, path, noun string) ([]T, error) {
	response, err := c.do(ctx, http.MethodGet, path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%s answered %d; want a gateway's metrics address", c.address, response.StatusCode)
	}
	var items []T
	text, err := readAnswer(response.Body)
	if err == nil {
		err = json.Unmarshal(text, &items)
	}
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "%s did not return a list of %s: %v", c.address, noun, err)
	}
	return items, nil
}

// do sends one request.
func (c *GatewayClient) do(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, nil)
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%v; want a gateway's metrics address, IP:port", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fault.New(fault.NotReady, fault.NotRun, "the gateway does not answer: %v; name the metrics address of another gateway", err)
	}
	return response, nil
}
