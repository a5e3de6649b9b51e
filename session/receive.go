package session

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

const (
	// ackFrames and ackBytes are the numbers of frames and of payload bytes
	// received since the last ack at which an ack is sent at once.
	ackFrames = 64
	ackBytes  = 128 << 10
	// maxFaultBytes is the maximum length of an error text sent over a link.
	maxFaultBytes = 4 << 10
)

// receive processes one message of the connection.
func (s *Session) receive(a *attachment, b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if s.attachment != a {
		return errors.Wrap(boragewick.ErrLinkLost, "replaced by another connection")
	}
	s.watchdog.recordReceive(time.Now())
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

// dispatch processes one frame; the caller holds mu. ErrProtocol ends the
// session, other errors end the connection.
func (s *Session) dispatch(a *attachment, f *frame.Frame, payload []byte) error {
	if f.Numbered() {
		return s.receiveNumbered(a, f, payload)
	}
	switch f.Kind {
	case frame.Ack:
		return s.outbox.acknowledge(f.Value)
	case frame.Ping:
		a.sendPong = true
		a.signal()
	case frame.Bye:
		return s.receiveBye(payload)
	}
	return nil
}

// receiveNumbered processes a numbered frame unless it was received before.
func (s *Session) receiveNumbered(a *attachment, f *frame.Frame, payload []byte) error {
	if f.Number <= s.lastReceived {
		return nil
	}
	if f.Number > s.lastReceived+1 {
		return errors.Wrapf(boragewick.ErrLinkLost, "frame %d follows on %d", f.Number, s.lastReceived)
	}
	s.lastReceived = f.Number
	if s.watchdog.countUnacked(len(payload)) {
		a.signal()
	}
	if f.Kind == frame.Open {
		return s.receiveOpen(f, payload)
	}
	st := s.streams[f.Stream]
	if st == nil {
		return nil
	}
	switch f.Kind {
	case frame.Data:
		return st.deliver(payload, len(payload))
	case frame.End:
		s.receiveEnd(st)
	case frame.Fault:
		return s.receiveFault(st, payload)
	case frame.Cancel:
		return s.receiveCancel(st)
	case frame.Credit:
		return st.addCredit(f.Value)
	}
	return nil
}

// receiveBye ends the session with the remote's error.
func (s *Session) receiveBye(payload []byte) error {
	var fault boragewick.Fault
	if err := frame.Decode(payload, &fault); err != nil {
		return err
	}
	err := errors.Mark(errors.Wrap(fault.Err(), "ended by the remote"), boragewick.ErrLinkLost)
	s.end(err, false)
	return err
}

// receiveOpen accepts a stream and starts its handler, or refuses the stream.
func (s *Session) receiveOpen(f *frame.Frame, payload []byte) error {
	if s.accept == nil || f.Stream <= s.lastStreamID {
		return errors.Wrapf(boragewick.ErrProtocol, "stream %d opened after %d", f.Stream, s.lastStreamID)
	}
	s.lastStreamID = f.Stream
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
	s.watchdog.streamStarted(time.Now())
	if err := st.deliver(payload, 0); err != nil {
		return err
	}
	s.workers.run(s.ctx, func() { s.serve(st, h) })
	return nil
}

// serve runs the handler and sends its result to the opener.
func (s *Session) serve(st *stream, h boragewick.Handler) {
	err := h.Serve(st.ctx, st)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer st.cancel(nil)
	if s.streams[st.id] != st {
		return
	}
	if err == nil {
		s.enqueue(frame.Frame{Kind: frame.End, Stream: st.id}, nil)
	} else {
		s.sendFault(st.id, err)
	}
	s.removeStream(st, io.EOF)
}

// refuse answers an Open frame with an error marked ErrNotRun.
func (s *Session) refuse(id uint64, err error) {
	s.sendFault(id, boragewick.NotRun(err))
}

// sendFault sends a Fault frame with the error; the caller holds mu.
func (s *Session) sendFault(id uint64, err error) {
	buf := getBuffer()
	defer putBuffer(buf)
	if err := frame.Encode(buf, faultOf(err)); err != nil {
		s.end(err, true)
		return
	}
	s.enqueue(frame.Frame{Kind: frame.Fault, Stream: id}, buf.Bytes())
}

// faultOf returns the wire form of the error with its text truncated to
// maxFaultBytes. Older programs end the session over a text that isn't UTF-8.
func faultOf(err error) boragewick.Fault {
	f := boragewick.FaultOf(err)
	f.Message = strings.ToValidUTF8(f.Message[:min(len(f.Message), maxFaultBytes)], "")
	return f
}

// receiveEnd processes an End frame: the remote sends no more on the stream.
func (s *Session) receiveEnd(st *stream) {
	if st.opener {
		s.removeStream(st, io.EOF)
		return
	}
	st.setRecvErr(io.EOF)
}

// receiveCancel processes a Cancel frame: the opener has abandoned the stream.
func (s *Session) receiveCancel(st *stream) error {
	if st.opener {
		return errors.Wrapf(boragewick.ErrProtocol, "cancel by the handler of stream %d", st.id)
	}
	st.cancel(boragewick.ErrCanceled)
	s.removeStream(st, boragewick.ErrCanceled)
	return nil
}

// receiveFault processes a Fault frame: the handler has returned an error. One that can't
// be decoded ends its stream only, like any other payload.
func (s *Session) receiveFault(st *stream, payload []byte) error {
	if !st.opener {
		return errors.Wrapf(boragewick.ErrProtocol, "fault of the opener on stream %d", st.id)
	}
	var fault boragewick.Fault
	err := frame.Decode(payload, &fault)
	if err == nil {
		err = fault.Err()
	}
	s.removeStream(st, err)
	return nil
}
