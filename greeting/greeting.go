// Package greeting defines the first message that each side of a connection
// sends. It negotiates the protocol version and whether a session is resumed.
package greeting

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

// The newest and the oldest protocol version that this build supports. During an
// upgrade it communicates with builds that are one version newer or older.
const (
	Version       uint = 1
	OldestVersion uint = 1
)

// Greeting is a hello with the state of the session.
type Greeting struct {
	Version       uint             `cbor:"version"`
	OldestVersion uint             `cbor:"oldest_version"`
	Hello         boragewick.Hello `cbor:"hello"`
	// Session is empty if the dialler requests a new session. The reply names the
	// session that the connection carries.
	Session boragewick.ID `cbor:"session,omitempty"`
	// Received is the number of the last frame that the sender has received.
	Received uint64 `cbor:"received"`
	// WindowBytes and MaxMessageBytes are the sender's limits for what it receives.
	WindowBytes     int `cbor:"window_bytes"`
	MaxMessageBytes int `cbor:"max_message_bytes"`
	// Fault is the reason why the connection is refused.
	Fault *boragewick.Fault `cbor:"fault,omitempty"`
}

// New returns a greeting with the protocol versions of this build and the limits
// of s.
func New(h boragewick.Hello, s boragewick.LinkSettings) Greeting {
	return Greeting{
		Version:         Version,
		OldestVersion:   OldestVersion,
		Hello:           h,
		WindowBytes:     s.WindowBytes,
		MaxMessageBytes: s.MaxMessageBytes,
	}
}

// Send writes the greeting.
func (g Greeting) Send(conn boragewick.Conn) error {
	var buf bytes.Buffer
	if err := frame.Encode(&buf, g); err != nil {
		return err
	}
	return conn.WriteMessage(buf.Bytes())
}

// Recv reads the remote's greeting and checks its instance name against the
// remote's certificate. It returns the connection's error, the remote's refusal or
// ErrProtocol.
func Recv(conn boragewick.Conn) (Greeting, error) {
	var g Greeting
	b, err := conn.ReadMessage()
	if err != nil {
		return g, errors.Wrap(err, "read the greeting")
	}
	if err := frame.Decode(b, &g); err != nil {
		return g, errors.Wrap(err, "greeting")
	}
	if g.Fault != nil {
		return g, errors.Wrap(g.Fault.Err(), "refused by the remote")
	}
	if g.WindowBytes <= 0 || g.MaxMessageBytes <= 0 {
		return g, errors.Wrap(boragewick.ErrProtocol, "greeting without bounds")
	}
	if name := conn.RemoteName(); name != "" && name != g.Hello.Instance {
		return g, errors.Wrapf(boragewick.ErrProtocol, "instance %q shows the certificate of %q", g.Hello.Instance, name)
	}
	return g, nil
}

// NegotiateVersion returns the newest version that both sides support, or
// ErrProtocol.
func (g Greeting) NegotiateVersion(remote Greeting) (uint, error) {
	v := min(g.Version, remote.Version)
	if v < max(g.OldestVersion, remote.OldestVersion) {
		return 0, errors.Wrapf(boragewick.ErrProtocol,
			"no common protocol version: here %d to %d, remote %d to %d",
			g.OldestVersion, g.Version, remote.OldestVersion, remote.Version)
	}
	return v, nil
}
