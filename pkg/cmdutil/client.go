package cmdutil

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/oplang"
	"github.com/capersaddle/capersaddle/internal/process"
)

// Client calls the operators' interface of one process.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client for an operators' address, IP:port.
func NewClient(address, key string, client *http.Client) *Client {
	scheme := "http://"
	if client.Transport != nil {
		scheme = "https://"
	}
	return &Client{base: scheme + address + "/operator/v1", key: key, http: client}
}

// call sends one request and reads the answer into a value. A router that
// cannot be reached is fault.NotReady for reads; a command whose answer is
// lost is fault.Unsettled.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return lost(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return lost(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusedBy(response.StatusCode, text)
	}
	return json.Unmarshal(text, into)
}

func lost(method string, err error) *fault.Error {
	if method == http.MethodGet {
		return fault.New(fault.NotReady, fault.NotRun, "the router does not answer: %v; name another with --router", err)
	}
	return fault.New(fault.Unsettled, fault.Unknown, "the answer is lost: %v; run the same command again with the same --id", err)
}

func refusedBy(status int, text []byte) error {
	var refused process.OperatorError
	if json.Unmarshal(text, &refused) != nil || refused.Kind == "" {
		return fault.New(fault.Internal, fault.Unknown, "status %d: %s", status, text)
	}
	return fault.New(refused.Kind, refused.RunState, "%s", refused.Message)
}

// Command sends a configuration command.
func (c *Client) Command(ctx context.Context, command config.Command) (config.Result, error) {
	var result config.Result
	err := c.call(ctx, http.MethodPost, "/command", command, &result)
	return result, err
}

// Exec sends a script of the operators' language.
func (c *Client) Exec(ctx context.Context, script process.Script) (process.ExecResult, error) {
	var executed process.ExecResult
	err := c.call(ctx, http.MethodPost, "/exec", script, &executed)
	return executed, err
}

// Query asks a question of the operators' language.
func (c *Client) Query(ctx context.Context, text string) (oplang.Table, error) {
	var table oplang.Table
	err := c.call(ctx, http.MethodPost, "/query", process.QueryRequest{Text: text}, &table)
	if fault.KindOf(err) == fault.Unsettled && err != nil {
		// A question changes nothing, so a lost answer needs no settling.
		err = fault.New(fault.NotReady, fault.NotRun, "the router does not answer; name another with --router")
	}
	return table, err
}

// Republish writes the fleet's configuration to a store that was put back.
func (c *Client) Republish(ctx context.Context, id, who string) (config.Result, error) {
	var result config.Result
	err := c.call(ctx, http.MethodPost, "/republish", config.Command{ID: id, Operator: who}, &result)
	return result, err
}

// Release ends the long lease of an agent that is confirmed dead.
func (c *Client) Release(ctx context.Context, agent string) error {
	return c.call(ctx, http.MethodPost, "/release", process.Release{Agent: agent}, &struct{}{})
}

// Documents reads the configuration in force.
func (c *Client) Documents(ctx context.Context) (process.Documents, error) {
	var documents process.Documents
	err := c.call(ctx, http.MethodGet, "/documents", nil, &documents)
	return documents, err
}

// History reads the last accepted commands.
func (c *Client) History(ctx context.Context) ([]config.Accepted, error) {
	var history []config.Accepted
	err := c.call(ctx, http.MethodGet, "/history", nil, &history)
	return history, err
}

// Members reads what a process knows of the others.
func (c *Client) Members(ctx context.Context) ([]process.MemberRow, error) {
	var members []process.MemberRow
	err := c.call(ctx, http.MethodGet, "/members", nil, &members)
	return members, err
}
