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

// GatewayClient asks one gateway at its address for metrics.
type GatewayClient struct {
	address string
	http    *http.Client
}

// NewGatewayClient returns a client for a gateway's metrics address, IP:port.
func NewGatewayClient(address string, client *http.Client) *GatewayClient {
	return &GatewayClient{address: address, http: client}
}

// Rollouts are what the gateway knows of roll-outs.
func (c *GatewayClient) Rollouts(ctx context.Context) ([]rollout.Status, error) {
	return list[rollout.Status](ctx, c, process.PathRollouts, "roll-outs")
}

// Targets are all targets as the gateway sees them.
func (c *GatewayClient) Targets(ctx context.Context) ([]process.TargetStatus, error) {
	return list[process.TargetStatus](ctx, c, process.PathTargets, "targets")
}

// HeldBack are the requests that the gateway holds back.
func (c *GatewayClient) HeldBack(ctx context.Context) ([]process.HeldRequest, error) {
	return list[process.HeldRequest](ctx, c, process.PathQuarantine, "requests")
}

// Lift has a request sent again that is held back, named by its print.
func (c *GatewayClient) Lift(ctx context.Context, print string) error {
	response, err := c.do(ctx, http.MethodDelete, process.PathQuarantine+"?"+url.Values{process.QueryQuarantine: {print}}.Encode())
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	said, _ := io.ReadAll(io.LimitReader(response.Body, mostSaid))
	text := strings.TrimSpace(string(said))
	if text == "" {
		text = http.StatusText(response.StatusCode)
	}
	return fault.New(fault.BadRequest, fault.NotRun, "%s: %s", c.address, text)
}

// mostSaid bounds what is read of a gateway's word on a failure, in bytes.
const mostSaid = 4096

// list asks for a list of what is called things.
func list[T any](ctx context.Context, c *GatewayClient, path, things string) ([]T, error) {
	response, err := c.do(ctx, http.MethodGet, path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%s answered %d; want a gateway's metrics address", c.address, response.StatusCode)
	}
	var found []T
	if err := json.NewDecoder(response.Body).Decode(&found); err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "%s gave what is no list of %s: %v", c.address, things, err)
	}
	return found, nil
}

// do makes one call.
func (c *GatewayClient) do(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, nil)
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "%v; want a gateway's metrics address, IP:port", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fault.New(fault.NotReady, fault.NotRun, "the gateway does not answer: %v; name the metrics address of another", err)
	}
	return response, nil
}
