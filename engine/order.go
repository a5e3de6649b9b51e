package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/endpointhttp"
)

// Order gives the order to the engine and returns nil once it is carried out.
// Refusals by the engine are marked not run; after any other error the engine
// may still carry the order out.
func (c *Client) Order(ctx context.Context, o boragewick.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrMalformed, "%v", err))
	}
	w, err := c.Do(ctx, &endpointhttp.Call{
		Method:  http.MethodPost,
		Path:    "/orders",
		Header:  http.Header{"Content-Type": {"application/json"}},
		Body:    body,
		FirstBy: o.Deadline,
	})
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode/100 == 2 {
		return nil
	}
	var p problem
	_ = json.NewDecoder(io.LimitReader(w.Body, maxErrorBytes)).Decode(&p) // the status alone decides when there is no code
	switch {
	case p.Error.Code == "fenced":
		return boragewick.NotRun(errors.Wrap(boragewick.ErrFenced, p.Error.Message))
	case w.StatusCode < http.StatusInternalServerError:
		return boragewick.NotRun(errors.Wrapf(boragewick.ErrMalformed, "order: %s", p.Error.Message))
	default:
		return errors.Wrapf(boragewick.ErrEndpointFailed, "order: status %d: %s", w.StatusCode, p.Error.Message)
	}
}
