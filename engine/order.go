package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/endpointhttp"
)

// Order sends the order to the engine and returns nil once it has been executed.
// Refusals by the engine are marked not run. After an error that is not marked, the
// engine may still execute the order.
func (c *Client) Order(ctx context.Context, o boragewick.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrMalformed, "%v", err))
	}
	resp, err := c.Do(ctx, &endpointhttp.Call{
		Method:            http.MethodPost,
		Path:              "/orders",
		Header:            http.Header{"Content-Type": {"application/json"}},
		Body:              body,
		FirstByteDeadline: o.Deadline,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 == 2 {
		return nil
	}
	var p problem
	// Without a code, only the status counts.
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(&p); errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "order: status %d with a truncated body", resp.StatusCode)
	}
	switch {
	case p.Error.Code == "fenced":
		return boragewick.NotRun(errors.Wrap(boragewick.ErrFenced, p.Error.Message))
	case resp.StatusCode < http.StatusInternalServerError:
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrMalformed, "order: %s", p.Error.Message))
	default:
		return errors.Wrapf(boragewick.ErrEndpointFailed, "order: status %d: %s", resp.StatusCode, p.Error.Message)
	}
}
