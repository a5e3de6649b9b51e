package core

import (
	"bytes"
	"compress/flate"
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// documentPartBytes is the size of a part of a document. It bounds how long the updates on the
// same link wait for it.
const documentPartBytes = 16 << 10

// packedDocument is the newest published document, compressed once for all watchers.
type packedDocument struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

// get returns the version of the newest publication and its compressed document, which must not
// be changed.
func (d *packedDocument) get(p boragewick.Publication) (uint64, []byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.Version <= d.version {
		return d.version, d.data, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(p.Document)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return 0, nil, errors.Wrapf(err, "compress version %d", p.Version)
	}
	d.version, d.data = p.Version, b.Bytes()
	return d.version, d.data, nil
}

// serveDocument sends the newest document. The stream keeps the version that it began with, so
// that a router with a slow link makes progress while newer versions are published.
func (c *Core) serveDocument(ctx context.Context, s boragewick.Stream) error {
	var req boragewick.DocumentRequest
	if err := s.Recv(ctx, &req); err != nil {
		return err
	}
	if c.Replica == nil {
		return errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	state, _ := c.Registry.State()
	if v := state.Publication.Version; v == 0 || v < req.Version {
		return errors.Wrapf(boragewick.ErrUnknownObject, "version %d, the newest is %d", req.Version, v)
	}
	version, rest, err := c.document.get(state.Publication)
	if err != nil {
		return err
	}
	size := len(rest)
	for {
		n := min(len(rest), documentPartBytes)
		if err := s.Send(ctx, &boragewick.DocumentPart{Version: version, Size: size, Data: rest[:n]}); err != nil {
			return err
		}
		if rest = rest[n:]; len(rest) == 0 {
			return nil
		}
		var ack boragewick.DocumentAck
		if err := s.Recv(ctx, &ack); err != nil {
			return err
		}
	}
}
