package cmdutil

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/config"
	"github.com/capersaddle/capersaddle/internal/fault"
	"github.com/capersaddle/capersaddle/internal/oplang"
	"github.com/capersaddle/capersaddle/internal/process"
)

// Client is a client of the operators' interface of one process.
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

// call sends one request and decodes the response. A router that can't be reached is
// fault.NotReady for reads; a command whose response is lost is fault.Unsettled.
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
		return lostAnswer(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := readAnswer(response.Body)
	if err != nil {
		return lostAnswer(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return errorFrom(response.StatusCode, text)
	}
	return json.Unmarshal(text, into)
}

// maxAnswer bounds the answer of a process to a command, in bytes: it is kept until it is complete. The
// configuration of thousands of workspaces takes a few million.
const maxAnswer = 64 << 20

// readAnswer reads an answer to its end.
func readAnswer(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	if err == nil && len(text) > maxAnswer {
		err = errors.Newf("it is over %d bytes", maxAnswer)
	}
	return text, err
}

func lostAnswer(method string, err error) *fault.Error {
	if method == http.MethodGet {
		return fault.New(fault.NotReady, fault.NotRun, "the router does not answer: %v; name another with --router", err)
	}
	return fault.New(fault.Unsettled, fault.Unknown, "the response was lost: %v; run the same command again with the same --id", err)
}

func errorFrom(status int, text []byte) error {
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

// Exec sends a script in the operators' language.
func (c *Client) Exec(ctx context.Context, script process.Script) (process.ExecResult, error) {
	var executed process.ExecResult
	err := c.call(ctx, http.MethodPost, "/exec", script, &executed)
	return executed, err
}

// Query sends a query in the operators' language.
func (c *Client) Query(ctx context.Context, text string) (oplang.Table, error) {
	var table oplang.Table
	err := c.call(ctx, http.MethodPost, "/query", process.QueryRequest{Text: text}, &table)
	if fault.KindOf(err) == fault.Unsettled && err != nil {
		// A query changes nothing, so a lost response needs no follow-up.
		err = fault.New(fault.NotReady, fault.NotRun, "the router does not answer; name another with --router")
	}
	return table, err
}

// Republish writes the fleet's configuration to a store that was reset to an older state.
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

// History reads the latest accepted commands.
func (c *Client) History(ctx context.Context) ([]config.Accepted, error) {
	var history []config.Accepted
	err := c.call(ctx, http.MethodGet, "/history", nil, &history)
	return history, err
}

// Members reads a process's view of the other members.
func (c *Client) Members(ctx context.Context) ([]process.MemberRow, error) {
	var members []process.MemberRow
	err := c.call(ctx, http.MethodGet, "/members", nil, &members)
	return members, err
}
