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

// Export returns the KV cache of one block in the engine's own format, or
// ErrUnknownObject if the block is not cached.
func (c *Client) Export(ctx context.Context, b boragewick.BlockHash) ([]byte, error) {
	resp, err := c.Do(ctx, blockCall(http.MethodGet, b, nil))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, errors.Wrapf(boragewick.ErrUnknownObject, "block %016x", uint64(b))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(boragewick.ErrEndpointFailed, "export: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err == nil && len(data) > maxBodyBytes {
		err = errors.Wrapf(boragewick.ErrEndpointFailed, "block above %d bytes", maxBodyBytes)
	}
	return data, err
}

// Import sends the engine the KV cache of one block that another engine with the
// same model has exported. It returns ErrCorrupt if the engine rejects the data.
func (c *Client) Import(ctx context.Context, b boragewick.BlockHash, data []byte) error {
	resp, err := c.Do(ctx, blockCall(http.MethodPut, b, data))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode/100 == 2:
		return nil
	case resp.StatusCode < http.StatusInternalServerError:
		return errors.Wrapf(boragewick.ErrCorrupt, "import of block %016x: status %d", uint64(b), resp.StatusCode)
	default:
		return errors.Wrapf(boragewick.ErrEndpointFailed, "import: status %d", resp.StatusCode)
	}
}

func blockCall(method string, b boragewick.BlockHash, data []byte) *endpointhttp.Call {
	return &endpointhttp.Call{
		Method:            method,
		Path:              fmt.Sprintf("/kv/%016x", uint64(b)),
		Body:              data,
		FirstByteDeadline: time.Now().Add(callTimeout),
		ReadTimeout:       callTimeout,
	}
}
