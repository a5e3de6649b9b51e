package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/endpointhttp"
)

// Export returns the KV cache of one block in the engine's own form. It
// returns ErrUnknownObject for a block that is not cached.
func (c *Client) Export(ctx context.Context, b boragewick.BlockHash) ([]byte, error) {
	w, err := c.Do(ctx, blockCall(http.MethodGet, b, nil))
	if err != nil {
		return nil, err
	}
	defer w.Body.Close()
	if w.StatusCode == http.StatusNotFound {
		return nil, errors.Wrapf(boragewick.ErrUnknownObject, "block %016x", uint64(b))
	}
	if w.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(boragewick.ErrEndpointFailed, "export: status %d", w.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(w.Body, maxWholeBytes+1))
	if err == nil && len(data) > maxWholeBytes {
		err = errors.Wrapf(boragewick.ErrEndpointFailed, "block above %d bytes", maxWholeBytes)
	}
	return data, err
}

// Import gives the engine the KV cache of one block that another engine with
// the same model has exported. It returns ErrCorrupt for data that the engine
// does not take.
func (c *Client) Import(ctx context.Context, b boragewick.BlockHash, data []byte) error {
	w, err := c.Do(ctx, blockCall(http.MethodPut, b, data))
	if err != nil {
		return err
	}
	defer w.Body.Close()
	switch {
	case w.StatusCode/100 == 2:
		return nil
	case w.StatusCode < http.StatusInternalServerError:
		return errors.Wrapf(boragewick.ErrCorrupt, "import of block %016x: status %d", uint64(b), w.StatusCode)
	default:
		return errors.Wrapf(boragewick.ErrEndpointFailed, "import: status %d", w.StatusCode)
	}
}

func blockCall(method string, b boragewick.BlockHash, data []byte) *endpointhttp.Call {
	return &endpointhttp.Call{
		Method:  method,
		Path:    fmt.Sprintf("/kv/%016x", uint64(b)),
		Body:    data,
		FirstBy: time.Now().Add(stateTimeout),
		Between: stateTimeout,
	}
}
