package session

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// watchdog detects unanswered pings, the end of the resume window and idle
// links, and sends delayed acks. It is guarded by the session's mu.
type watchdog struct {
	session *Session
	timer   *time.Timer
	// firesAt is when the timer fires.
	firesAt time.Time
	// lastReceiveTime is when a message was last received; pingSent is when the
	// ping that is still unanswered was requested.
	lastReceiveTime time.Time
	pingSent        time.Time
	// lastUsed is when a stream was last started or the last open stream ended.
	lastUsed time.Time
	// resumeDeadline is when a session without a connection ends.
	resumeDeadline time.Time
	// unacked and unackedBytes count the numbered frames received since the
	// last ack and their payload bytes.
	unacked      int
	unackedBytes int
}

// start starts the timer. A new session has ResumeTimeout to get a connection.
func (w *watchdog) start(s *Session, now time.Time) {
	w.session = s
	w.lastUsed = now
	w.lastReceiveTime = now
	w.firesAt = now.Add(s.settings.ResumeTimeout)
	w.resumeDeadline = w.firesAt
	w.timer = time.AfterFunc(s.settings.ResumeTimeout, s.tick)
}

// stop stops the timer.
func (w *watchdog) stop() { w.timer.Stop() }

// arm makes the timer fire at the given time at the latest.
func (w *watchdog) arm(now, at time.Time) {
	if w.firesAt.After(now) && !at.Before(w.firesAt) {
		return
	}
	w.firesAt = at
	w.timer.Reset(at.Sub(now))
}

// attached resets the watchdog for a new connection.
func (w *watchdog) attached(now time.Time) {
	w.lastReceiveTime = now
	w.pingSent = time.Time{}
	w.resumeDeadline = time.Time{}
	w.unacked = 0
	w.unackedBytes = 0
	w.arm(now, now.Add(w.session.settings.PingInterval))
}

// detached starts the resume window after the connection has ended.
func (w *watchdog) detached(now time.Time) {
	w.resumeDeadline = now.Add(w.session.settings.ResumeTimeout)
	w.arm(now, w.resumeDeadline)
}

// recordReceive records that a message was received, which also answers a
// pending ping.
func (w *watchdog) recordReceive(now time.Time) {
	w.lastReceiveTime = now
	w.pingSent = time.Time{}
}

// recordProgress records that a part of a message was received. The remote's ping may wait behind
// that message, so it gets a pong without having been heard.
func (s *Session) recordProgress(a *attachment, now time.Time) {
	if a.progressAt.IsZero() {
		a.progressAt = now
	}
	if now.Sub(a.progressAt) < s.settings.PingInterval/2 {
		return
	}
	a.progressAt = now
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attachment != a || s.err != nil {
		return
	}
	s.watchdog.recordReceive(now)
	a.sendPong = true
	a.signal()
}

// streamStarted records the start of a stream and requests a ping if nothing
// was received for the ping interval.
func (w *watchdog) streamStarted(now time.Time) {
	w.lastUsed = now
	s := w.session
	w.arm(now, now.Add(s.settings.PingInterval))
	if now.Sub(w.lastReceiveTime) >= s.pingInterval() {
		w.requestPing(now)
	}
}

// pingInterval returns how long nothing may be received before a ping is sent.
// The accepting side waits twice as long, so that the dialler pings first.
func (s *Session) pingInterval() time.Duration {
	if s.accept != nil {
		return 2 * s.settings.PingInterval
	}
	return s.settings.PingInterval
}

// requestPing makes the writer send a ping unless one is still unanswered.
func (w *watchdog) requestPing(now time.Time) {
	s := w.session
	if s.attachment == nil || !w.pingSent.IsZero() {
		return
	}
	w.pingSent = now
	s.attachment.sendPing = true
	s.attachment.signal()
	w.arm(now, now.Add(s.settings.PongTimeout))
}

// countUnacked counts a numbered frame with n bytes of payload and reports
// whether an ack is due.
func (w *watchdog) countUnacked(n int) bool {
	w.unacked++
	w.unackedBytes += n
	if w.unacked == 1 {
		now := w.lastReceiveTime
		w.arm(now, now.Add(w.session.settings.PingInterval))
	}
	return w.unacked >= ackFrames || w.unackedBytes >= ackBytes
}

// tick runs when the timer fires.
func (s *Session) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.err != nil {
		return
	}
	if s.attachment == nil {
		s.tickDetached(now)
		return
	}
	s.tickAttached(now)
}

// tickDetached ends the session if its resume window has passed.
func (s *Session) tickDetached(now time.Time) {
	if now.Before(s.watchdog.resumeDeadline) {
		s.watchdog.firesAt = time.Time{}
		s.watchdog.arm(now, s.watchdog.resumeDeadline)
		return
	}
	s.end(errors.Wrap(boragewick.ErrLinkLost, "not resumed in time"), false)
}

// tickAttached sends pings and acks, closes a connection whose ping was not
// answered and ends an idle session.
func (s *Session) tickAttached(now time.Time) {
	w := &s.watchdog
	set := s.settings
	w.firesAt = time.Time{}
	if !w.pingSent.IsZero() && now.Sub(w.pingSent) >= set.PongTimeout {
		s.attachment.pingTimedOut = true
		go s.attachment.close()
		return
	}
	if w.unacked > 0 {
		s.attachment.signal()
	}
	if len(s.streams) > 0 {
		if now.Sub(w.lastReceiveTime) >= s.pingInterval() {
			w.requestPing(now)
		}
		w.arm(now, now.Add(set.PingInterval))
		return
	}
	if !w.pingSent.IsZero() {
		w.arm(now, w.pingSent.Add(set.PongTimeout))
		return
	}
	idle := set.IdleTimeout
	if s.accept != nil {
		idle *= 2
	}
	if now.Sub(w.lastUsed) >= idle {
		s.end(errors.Wrap(boragewick.ErrLinkLost, "link idle"), true)
		return
	}
	w.arm(now, w.lastUsed.Add(idle))
}
