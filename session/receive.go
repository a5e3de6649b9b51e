package session

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

const (
	// ackFrames and ackBytes are how much may arrive before an ack goes out.
	ackFrames = 64
	ackBytes  = 128 << 10
	// maxFaultBytes is the longest error text that crosses a link.
	maxFaultBytes = 4 << 10
)

// receive takes in one message of the connection.
func (s *Session) receive(a *attachment, b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if s.link != a {
		return errors.Wrap(boragewick.ErrLinkLost, "replaced by another connection")
	}
	s.life.heard(time.Now())
	var f frame.Frame
	for len(b) > 0 {
		payload, rest, err := f.Read(b)
		if err == nil {
			err = s.dispatch(a, &f, payload)
		}
		if errors.Is(err, boragewick.ErrProtocol) {
			s.end(err, true)
		}
		if err != nil {
			return err
		}
		b = rest
	}
	return nil
}

// dispatch takes in one frame; the caller holds mu. ErrProtocol ends the
// session, other errors the connection.
func (s *Session) dispatch(a *attachment, f *frame.Frame, payload []byte) error {
	if f.Numbered() {
		return s.number(a, f, payload)
	}
	switch f.Kind {
	case frame.Ack:
		return s.out.acknowledge(f.Value)
	case frame.Ping:
		a.pong = true
		a.signal()
	case frame.Bye:
		return s.farewell(payload)
	}
	return nil
}

// number takes in a numbered frame unless it has arrived before.
func (s *Session) number(a *attachment, f *frame.Frame, payload []byte) error {
	if f.Number <= s.received {
		return nil
	}
	if f.Number > s.received+1 {
		return errors.Wrapf(boragewick.ErrLinkLost, "frame %d follows on %d", f.Number, s.received)
	}
	s.received = f.Number
	if s.life.arrived(len(payload)) {
		a.signal()
	}
	if f.Kind == frame.Open {
		return s.opened(f, payload)
	}
	st := s.streams[f.Stream]
	if st == nil {
		return nil
	}
	switch f.Kind {
	case frame.Data:
		return st.deliver(payload, len(payload))
	case frame.End:
		s.peerEnded(st)
	case frame.Fault:
		return s.peerFailed(st, payload)
	case frame.Cancel:
		return s.peerLeft(st)
	case frame.Credit:
		return st.grant(f.Value)
	}
	return nil
}

// farewell ends the session with the remote's reason.
func (s *Session) farewell(payload []byte) error {
	var fault boragewick.Fault
	if err := frame.Decode(payload, &fault); err != nil {
		return err
	}
	err := errors.Mark(errors.Wrap(fault.Err(), "ended by the remote"), boragewick.ErrLinkLost)
	s.end(err, false)
	return err
}

// opened starts the handler of a stream.
func (s *Session) opened(f *frame.Frame, payload []byte) error {
	if s.accept == nil || f.Stream <= s.lastID {
		return errors.Wrapf(boragewick.ErrProtocol, "stream %d opened after %d", f.Stream, s.lastID)
	}
	s.lastID = f.Stream
	if len(s.streams) >= s.settings.MaxStreams {
		s.refuse(f.Stream, errors.Wrapf(boragewick.ErrOverloaded, "%d streams on the link", len(s.streams)))
		return nil
	}
	h, err := s.accept(f.Method)
	if err != nil {
		s.refuse(f.Stream, err)
		return nil
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	st := newStream(ctx, s, f.Stream)
	st.cancel = cancel
	s.streams[st.id] = st
	s.life.use(time.Now())
	if err := st.deliver(payload, 0); err != nil {
		return err
	}
	s.workers.run(s.ctx, func() { s.serve(st, h) })
	return nil
}

// serve runs the handler and tells the opener how it ended.
func (s *Session) serve(st *stream, h boragewick.Handler) {
	err := h.Serve(st.ctx, st)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer st.cancel(nil)
	if s.streams[st.id] != st {
		return
	}
	if err == nil {
		s.send(frame.Frame{Kind: frame.End, Stream: st.id}, nil)
	} else {
		s.sendFault(st.id, err)
	}
	s.remove(st, io.EOF)
}

// refuse answers an open with an error; the method didn't run.
func (s *Session) refuse(id uint64, err error) {
	s.sendFault(id, boragewick.NotRun(err))
}

// sendFault ends a stream with an error; the caller holds mu.
func (s *Session) sendFault(id uint64, err error) {
	buf := getBuffer()
	defer putBuffer(buf)
	if err := frame.Encode(buf, faultOf(err)); err != nil {
		s.end(err, true)
		return
	}
	s.send(frame.Frame{Kind: frame.Fault, Stream: id}, buf.Bytes())
}

// faultOf returns the wire form of the error with its text cut to size.
func faultOf(err error) boragewick.Fault {
	f := boragewick.FaultOf(err)
	if len(f.Message) > maxFaultBytes {
		f.Message = f.Message[:maxFaultBytes]
	}
	return f
}

// peerEnded takes in that the remote sends no more on the stream.
func (s *Session) peerEnded(st *stream) {
	if st.opener {
		s.remove(st, io.EOF)
		return
	}
	st.endReceive(io.EOF)
}

// peerLeft takes in that the opener has left the stream.
func (s *Session) peerLeft(st *stream) error {
	if st.opener {
		return errors.Wrapf(boragewick.ErrProtocol, "cancel by the handler of stream %d", st.id)
	}
	st.cancel(boragewick.ErrCanceled)
	s.remove(st, boragewick.ErrCanceled)
	return nil
}

// peerFailed takes in the error that the handler ended with.
func (s *Session) peerFailed(st *stream, payload []byte) error {
	var fault boragewick.Fault
	if err := frame.Decode(payload, &fault); err != nil {
		return err
	}
	if !st.opener {
		return errors.Wrapf(boragewick.ErrProtocol, "fault of the opener on stream %d", st.id)
	}
	s.remove(st, fault.Err())
	return nil
}
