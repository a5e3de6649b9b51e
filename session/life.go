package session

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// life watches for silence, for the end of the resume window and for links
// that nobody uses. The session's mu guards it.
type life struct {
	session *Session
	timer   *time.Timer
	// due is when the timer fires.
	due time.Time
	// last is when something last arrived; asked is when the ping that has no
	// answer yet was sent.
	last  time.Time
	asked time.Time
	// used is when the last stream began or ended.
	used time.Time
	// resumeBy is when a session without a connection ends.
	resumeBy time.Time
	// unacked and unackedBytes count what arrived since the last ack.
	unacked      int
	unackedBytes int
}

// start begins to watch.
func (l *life) start(s *Session, now time.Time) {
	l.session = s
	l.used = now
	l.last = now
	l.due = now.Add(s.settings.ResumeWithin)
	l.resumeBy = l.due
	l.timer = time.AfterFunc(s.settings.ResumeWithin, s.tick)
}

// stop ends the watch.
func (l *life) stop() { l.timer.Stop() }

// arm makes the timer fire at the instant at the latest.
func (l *life) arm(now, at time.Time) {
	if l.due.After(now) && !at.Before(l.due) {
		return
	}
	l.due = at
	l.timer.Reset(at.Sub(now))
}

// attached notes a new connection.
func (l *life) attached(now time.Time) {
	l.last = now
	l.asked = time.Time{}
	l.resumeBy = time.Time{}
	l.unacked = 0
	l.unackedBytes = 0
	l.arm(now, now.Add(l.session.settings.PingEvery))
}

// detached notes that the connection is gone.
func (l *life) detached(now time.Time) {
	l.resumeBy = now.Add(l.session.settings.ResumeWithin)
	l.arm(now, l.resumeBy)
}

// heard notes that something has arrived.
func (l *life) heard(now time.Time) {
	l.last = now
	l.asked = time.Time{}
}

// use notes that a stream begins and asks for a ping if the link was quiet.
func (l *life) use(now time.Time) {
	l.used = now
	s := l.session
	l.arm(now, now.Add(s.settings.PingEvery))
	if now.Sub(l.last) >= s.pingEvery() {
		l.ping(now)
	}
}

// pingEvery returns after how much silence to send a ping. The accepting side
// leaves the first to the dialler.
func (s *Session) pingEvery() time.Duration {
	if s.accept != nil {
		return 2 * s.settings.PingEvery
	}
	return s.settings.PingEvery
}

// ping asks the remote for an answer.
func (l *life) ping(now time.Time) {
	s := l.session
	if s.link == nil || !l.asked.IsZero() {
		return
	}
	l.asked = now
	s.link.ping = true
	s.link.signal()
	l.arm(now, now.Add(s.settings.PongWithin))
}

// arrived counts a numbered frame and reports whether an ack is due.
func (l *life) arrived(n int) bool {
	l.unacked++
	l.unackedBytes += n
	if l.unacked == 1 {
		now := l.last
		l.arm(now, now.Add(l.session.settings.PingEvery))
	}
	return l.unacked >= ackFrames || l.unackedBytes >= ackBytes
}

// tick does what is due.
func (s *Session) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.err != nil {
		return
	}
	if s.link == nil {
		s.tickDetached(now)
		return
	}
	s.tickAttached(now)
}

// tickDetached ends a session whose resume window has passed.
func (s *Session) tickDetached(now time.Time) {
	if now.Before(s.life.resumeBy) {
		s.life.due = time.Time{}
		s.life.arm(now, s.life.resumeBy)
		return
	}
	s.end(errors.Wrap(boragewick.ErrLinkLost, "not resumed in time"), false)
}

// tickAttached sends pings and acks and closes silent connections.
func (s *Session) tickAttached(now time.Time) {
	l := &s.life
	set := s.settings
	l.due = time.Time{}
	if !l.asked.IsZero() && now.Sub(l.asked) >= set.PongWithin {
		s.link.silent = true
		go s.link.close()
		return
	}
	if l.unacked > 0 {
		s.link.signal()
	}
	if len(s.streams) > 0 {
		if now.Sub(l.last) >= s.pingEvery() {
			l.ping(now)
		}
		l.arm(now, now.Add(set.PingEvery))
		return
	}
	if !l.asked.IsZero() {
		l.arm(now, l.asked.Add(set.PongWithin))
		return
	}
	idle := set.IdleAfter
	if s.accept != nil {
		idle *= 2
	}
	if now.Sub(l.used) >= idle {
		s.end(errors.Wrap(boragewick.ErrLinkLost, "link idle"), true)
		return
	}
	l.arm(now, l.used.Add(idle))
}
