package boragewick

import "time"

// LinkSettings are the limits and timeouts of the links between processes. Zero
// fields take defaults.
type LinkSettings struct {
	// MaxMessageBytes is the largest encoded message of a stream.
	MaxMessageBytes int
	// WindowBytes is the flow-control window: how many bytes a sender may have
	// sent that the receiver's application hasn't read, per stream and direction.
	// The last message may exceed it.
	WindowBytes int
	// MaxUnackedBytes bounds the unacknowledged frames that are kept for a
	// resume, per link and direction. Sends block beyond half of it, and the
	// link's streams fail beyond all of it.
	MaxUnackedBytes int
	// MaxStreams bounds the open streams of one link.
	MaxStreams int
	// MaxHandlers bounds the handlers that one server runs at once.
	MaxHandlers int
	// PingInterval is how long an active link may receive nothing before a ping
	// is sent. The accepting side waits twice as long.
	PingInterval time.Duration
	// PongTimeout is how long the answer to a ping may take.
	PongTimeout time.Duration
	// DialTimeout bounds a dial with its handshakes, and how long Open waits
	// for one.
	DialTimeout time.Duration
	// ResumeTimeout is how long streams outlive the connection that carried
	// them.
	ResumeTimeout time.Duration
	// IdleTimeout is how long a link without streams stays connected.
	IdleTimeout time.Duration
}

// Defaults of LinkSettings.
const (
	defaultMaxMessageBytes = 16 << 20
	defaultWindowBytes     = 256 << 10
	defaultMaxUnackedBytes = 32 << 20
	defaultMaxStreams      = 4096
	defaultMaxHandlers     = 16384
	defaultPingInterval    = 500 * time.Millisecond
	defaultPongTimeout     = time.Second
	defaultDialTimeout     = time.Second
	defaultResumeTimeout   = 10 * time.Second
	defaultIdleTimeout     = time.Minute
)

// WithDefaults returns the settings with defaults in place of zeros.
func (s LinkSettings) WithDefaults() LinkSettings {
	setDefault(&s.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&s.WindowBytes, defaultWindowBytes)
	setDefault(&s.MaxUnackedBytes, defaultMaxUnackedBytes)
	setDefault(&s.MaxStreams, defaultMaxStreams)
	setDefault(&s.MaxHandlers, defaultMaxHandlers)
	setDefault(&s.PingInterval, defaultPingInterval)
	setDefault(&s.PongTimeout, defaultPongTimeout)
	setDefault(&s.DialTimeout, defaultDialTimeout)
	setDefault(&s.ResumeTimeout, defaultResumeTimeout)
	setDefault(&s.IdleTimeout, defaultIdleTimeout)
	return s
}

// setDefault sets v to value if it is zero.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
