package mirror

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// gatherTime is how long a router waits after the first replica has announced a version, so
	// that not all routers fetch it from the leader, which has it first.
	gatherTime = 20 * time.Millisecond
	// fetchStallTime is the time without a part after which a document is also fetched from
	// another replica. The first fetch goes on, as its link may just be slow.
	fetchStallTime = 600 * time.Millisecond
	// fetchRetryDelay is the time between two fetches from the same replica if one fails.
	fetchRetryDelay = 200 * time.Millisecond
	// maxDocumentBytes bounds a document, compressed and as it was published.
	maxDocumentBytes = 16 << 20
)

// documents are the versions that the followed replicas have announced, and the fetches of
// their documents. All of it is guarded by the mirror's mu.
type documents struct {
	// announced holds the version that each followed replica has, unless it was fetched from
	// there.
	announced map[netip.AddrPort]uint64
	// streams are the contexts of the streams that the announcements came on.
	streams map[netip.AddrPort]context.Context //nolint:containedctx // a fetch ends with the stream
	// progressAt holds when the fetches under way have begun or received a part.
	progressAt map[netip.AddrPort]time.Time
	failedAt   map[netip.AddrPort]time.Time
}

// init creates the maps on first use.
func (d *documents) init() {
	if d.announced != nil {
		return
	}
	d.announced = map[netip.AddrPort]uint64{}
	d.streams = map[netip.AddrPort]context.Context{}
	d.progressAt = map[netip.AddrPort]time.Time{}
	d.failedAt = map[netip.AddrPort]time.Time{}
}

// forget drops what a replica has announced that is no longer followed.
func (d *documents) forget(addr netip.AddrPort) {
	delete(d.announced, addr)
	delete(d.streams, addr)
}

// announce records that the replica has a version, and fetches it soon. ctx is that of the
// stream that the announcement came on. The caller holds mu.
func (m *Mirror) announce(ctx context.Context, addr netip.AddrPort, version uint64) {
	if version <= m.tableVersion() {
		return
	}
	d := &m.documents
	d.init()
	isFirst := true
	for _, v := range d.announced {
		isFirst = isFirst && v < version
	}
	d.announced[addr], d.streams[addr] = version, ctx
	if isFirst {
		time.AfterFunc(gatherTime, m.fetchDocument)
	}
}

// fetchDocument begins to fetch the newest announced document, unless one is being fetched.
func (m *Mirror) fetchDocument() {
	m.mu.Lock()
	defer m.mu.Unlock()
	addr, ok := m.nextSource()
	if !ok {
		return
	}
	d := &m.documents
	d.progressAt[addr] = m.Clock.Now()
	ctx, version := d.streams[addr], d.announced[addr]
	m.fetches.Go(func() {
		m.fetchFrom(ctx, addr, version)
		m.fetchDocument()
	})
}

// nextSource returns the replica to fetch a document from, if any; the caller holds mu.
func (m *Mirror) nextSource() (netip.AddrPort, bool) {
	d := &m.documents
	now := m.Clock.Now()
	for _, at := range d.progressAt {
		if now.Sub(at) < fetchStallTime {
			return netip.AddrPort{}, false
		}
	}
	var list []netip.AddrPort
	for addr, version := range d.announced {
		_, fetching := d.progressAt[addr]
		if version > m.tableVersion() && !fetching && d.streams[addr].Err() == nil && now.Sub(d.failedAt[addr]) >= fetchRetryDelay {
			list = append(list, addr)
		}
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return slices.MinFunc(list, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(d.announced[b], d.announced[a]), cmp.Compare(m.rank(a), m.rank(b)))
	}), true
}

// fetchFrom fetches the document of a version, or of a later one, and puts its table in force.
func (m *Mirror) fetchFrom(ctx context.Context, addr netip.AddrPort, version uint64) {
	p, err := m.receiveDocument(ctx, addr, version)
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.documents
	delete(d.progressAt, addr)
	if err != nil {
		d.failedAt[addr] = m.Clock.Now()
		if ctx.Err() == nil {
			_ = level.Warn(m.Logger).Log("msg", "configuration not fetched", "replica", addr, "version", version, "err", err)
		}
		return
	}
	if d.announced[addr] <= p.Version {
		delete(d.announced, addr)
	}
	if m.mergeTable(addr, &p) {
		m.publish()
	}
}

// receiveDocument receives and decompresses a document.
func (m *Mirror) receiveDocument(ctx context.Context, addr netip.AddrPort, version uint64) (boragewick.Publication, error) {
	var p boragewick.Publication
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := m.Peers.Get(addr).Open(ctx, boragewick.MethodDocument, &boragewick.DocumentRequest{Version: version})
	if err != nil {
		return p, err
	}
	var packed bytes.Buffer
	for {
		var part boragewick.DocumentPart
		if err := s.Recv(ctx, &part); err != nil {
			return p, err
		}
		packed.Write(part.Data)
		p.Version = part.Version
		switch {
		case part.Size > maxDocumentBytes || packed.Len() > part.Size || len(part.Data) == 0:
			return p, errors.Wrapf(boragewick.ErrProtocol, "part of %d bytes, %d of %d received", len(part.Data), packed.Len(), part.Size)
		case packed.Len() == part.Size:
			p.Document, err = inflate(&packed)
			return p, err
		}
		m.mu.Lock()
		m.documents.progressAt[addr] = m.Clock.Now()
		m.mu.Unlock()
		if err := s.Send(ctx, &boragewick.DocumentAck{Received: packed.Len()}); err != nil {
			return p, err
		}
	}
}

// inflate decompresses a document of at most maxDocumentBytes.
func inflate(packed io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(packed), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress"), boragewick.ErrProtocol)
	}
	if len(b) > maxDocumentBytes {
		return nil, errors.Wrapf(boragewick.ErrTooLarge, "document of over %d bytes", maxDocumentBytes)
	}
	return b, nil
}
