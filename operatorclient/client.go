// Package operatorclient calls the administration API.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// callTimeout bounds one call.
	callTimeout = 15 * time.Second
	// statusPollInterval is the time between two status calls of AwaitInForce.
	statusPollInterval = 50 * time.Millisecond
	// maxReplyBytes bounds one reply.
	maxReplyBytes = 64 << 20
)

// Client calls the API at Base, such as http://127.0.0.1:8090, with the token.
type Client struct {
	Base  string
	Token string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Plan stores a plan for the intent, which is INI text.
func (c *Client) Plan(ctx context.Context, intent []byte) (boragewick.PlanReply, error) {
	var reply boragewick.PlanReply
	err := c.call(ctx, http.MethodPost, "/api/plans", intent, &reply)
	return reply, err
}

// GetPlan returns a plan that has not been decided.
func (c *Client) GetPlan(ctx context.Context, id boragewick.ID) (boragewick.Plan, error) {
	var p boragewick.Plan
	err := c.call(ctx, http.MethodGet, "/api/plans/"+url.PathEscape(string(id)), nil, &p)
	return p, err
}

// Confirm puts a plan into force. Confirming it again returns the first decision.
func (c *Client) Confirm(ctx context.Context, id boragewick.ID) (boragewick.Decision, error) {
	var d boragewick.Decision
	err := c.call(ctx, http.MethodPost, "/api/plans/"+url.PathEscape(string(id))+"/confirm", nil, &d)
	return d, err
}

// Get lists the objects of a kind, or one of them with its history.
func (c *Client) Get(ctx context.Context, kind boragewick.Kind, ref string) (boragewick.GetReply, error) {
	var reply boragewick.GetReply
	path := "/api/objects/" + url.PathEscape(string(kind)) + "?" + url.Values{"ref": {ref}}.Encode()
	err := c.call(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (boragewick.StatusReply, error) {
	var reply boragewick.StatusReply
	err := c.call(ctx, http.MethodGet, "/api/status", nil, &reply)
	return reply, err
}

// ChangeMembership changes the membership of the control replicas.
func (c *Client) ChangeMembership(ctx context.Context, action boragewick.MemberAction, replica string) (boragewick.LogStatus, error) {
	var reply boragewick.LogStatus
	path := "/api/control/" + url.PathEscape(replica) + "/" + url.PathEscape(string(action))
	err := c.call(ctx, http.MethodPost, path, nil, &reply)
	return reply, err
}

// Explain returns the trace of a request that the router has served.
func (c *Client) Explain(ctx context.Context, id boragewick.RequestID) (boragewick.Trace, error) {
	var t boragewick.Trace
	err := c.call(ctx, http.MethodGet, "/api/requests/"+url.PathEscape(string(id)), nil, &t)
	return t, err
}

// AwaitInForce waits until the revision is in force at every router that the
// leader knows. When ctx is done first, the error is ErrTimeout and names a
// router at which the revision is not in force.
func (c *Client) AwaitInForce(ctx context.Context, r boragewick.Revision) error {
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		behind := status.Behind(r)
		if behind == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(boragewick.ErrTimeout, "revision %d is confirmed and not yet in force at %s", r.Index, behind)
		case <-ticker.C:
		}
	}
}

// Burn returns the router's service-level counts.
func (c *Client) Burn(ctx context.Context) (boragewick.BurnReply, error) {
	var reply boragewick.BurnReply
	err := c.call(ctx, http.MethodGet, "/api/burn", nil, &reply)
	return reply, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Mark(err, boragewick.ErrMalformed)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.client().Do(request)
	if err != nil {
		return errors.Wrapf(boragewick.ErrLinkLost, "operator API: %s", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(boragewick.ErrLinkLost, "operator API: %s", err)
	}
	if response.StatusCode != http.StatusOK {
		return faultOf(response.StatusCode, text)
	}
	return errors.Mark(json.Unmarshal(text, reply), boragewick.ErrProtocol)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func faultOf(status int, text []byte) error {
	var f boragewick.Fault
	if err := json.Unmarshal(text, &f); err != nil || f.Code == "" {
		return errors.Wrapf(boragewick.ErrProtocol, "operator API answered %d", status)
	}
	return f.Err()
}
