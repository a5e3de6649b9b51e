package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/answer"
	"github.com/boragewick/boragewick/endpointhttp"
)

// maxEventBytes is the longest event of a stream.
const maxEventBytes = 1 << 20

// errFinal marks errors after which a resume is of no use.
var errFinal = errors.New("no resume")

// errGone marks a resume of a request that the engine does not know.
var errGone = errors.New("request gone")

// doneData is the data of a stream's last event.
var doneData = []byte("[DONE]")

// stream is one answer on its way, over all its connections.
type stream struct {
	answer.Writer
	request *boragewick.Request
	// tokens is the number of the last event received.
	tokens int
	end    boragewick.End
	// counted tells that the engine gave the counts in end.
	counted bool
}

// part is what is read of an answer or of one chunk of it.
type part struct {
	ID    string          `json:"id"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

type usage struct {
	PromptTokens     uint64       `json:"prompt_tokens"`
	CompletionTokens uint64       `json:"completion_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens uint64 `json:"cached_tokens"`
}

// problem is an engine's error answer.
type problem struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// resumable reports whether the rest of the answer may still be had.
func (s *stream) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.IsAny(err, boragewick.ErrNotRun, errFinal) {
		return false
	}
	late := s.tokens == 0 && !s.request.Deadline.IsZero() && !time.Now().Before(s.request.Deadline)
	return !late && errors.IsAny(err, boragewick.ErrEndpointFailed, boragewick.ErrTimeout, boragewick.ErrWrongAnswer)
}

// check compares the answer's request ID.
func (s *stream) check(w *http.Response) error {
	return s.checkID(w.Header.Get(endpointhttp.HeaderRequestID))
}

func (s *stream) checkID(id string) error {
	if id == string(s.request.ID) {
		return nil
	}
	return errors.Wrapf(boragewick.ErrWrongAnswer, "answer to %q", id)
}

// refusal turns an answer other than 200 into an error, or passes it on when
// the caller has to mend the request.
func (s *stream) refusal(w *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(w.Body, maxErrorBytes))
	if err != nil {
		return errors.Mark(err, errFinal)
	}
	var p problem
	_ = json.Unmarshal(b, &p) // the status alone decides when there is no code
	switch {
	case p.Error.Code == "model_not_loaded":
		return boragewick.NotRun(errors.Wrap(boragewick.ErrNoEndpoint, p.Error.Message))
	case w.StatusCode == http.StatusTooManyRequests:
		return errors.Mark(errors.Wrap(boragewick.ErrOverloaded, p.Error.Message), errFinal)
	case w.StatusCode >= http.StatusInternalServerError, w.StatusCode == http.StatusConflict:
		return errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "status %d: %s", w.StatusCode, p.Error.Message), errFinal)
	}
	if err := s.Head(w); err != nil {
		return final(err)
	}
	return final(s.End(b, boragewick.End{}))
}

// read emits what the connection gives of the answer.
func (s *stream) read(w *http.Response) error {
	if !strings.HasPrefix(w.Header.Get("Content-Type"), "text/event-stream") {
		return s.readWhole(w)
	}
	br := bufio.NewReader(w.Body)
	for {
		raw, err := readEvent(br)
		if err != nil {
			return err
		}
		done, err := s.take(w, raw)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

// take checks and emits one event and reports whether it was the last one.
func (s *stream) take(w *http.Response, raw []byte) (bool, error) {
	id, data := fields(raw)
	if len(data) == 0 {
		return false, nil
	}
	if bytes.Equal(data, doneData) {
		return true, final(s.End(raw, s.ending(uint64(s.tokens))))
	}
	var p part
	if err := json.Unmarshal(data, &p); err != nil {
		return false, errors.Wrapf(boragewick.ErrEndpointFailed, "event: %v", err)
	}
	if len(p.Error) > 0 {
		return false, errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "engine: %s", p.Error), errFinal)
	}
	if err := s.checkID(p.ID); err != nil {
		return false, err
	}
	if id != "" && id != strconv.Itoa(s.tokens+1) {
		return false, errors.Wrapf(boragewick.ErrEndpointFailed, "event %s after %d", id, s.tokens)
	}
	s.count(p.Usage)
	if err := s.Head(w); err != nil {
		return false, final(err)
	}
	s.tokens++
	return false, final(s.Data(raw))
}

// readWhole emits an answer that is not streamed, after it is there in full.
func (s *stream) readWhole(w *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(w.Body, maxWholeBytes+1))
	if err != nil {
		return err
	}
	if len(b) > maxWholeBytes {
		return errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "answer above %d bytes", maxWholeBytes), errFinal)
	}
	var p part
	if err := json.Unmarshal(b, &p); err != nil {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "answer: %v", err)
	}
	if err := s.checkID(p.ID); err != nil {
		return err
	}
	s.count(p.Usage)
	if err := s.Head(w); err != nil {
		return final(err)
	}
	return final(s.End(b, s.ending(uint64(len(b))/boragewick.BytesPerToken)))
}

// ending returns the engine's counts, or the output's estimate without them.
func (s *stream) ending(output uint64) boragewick.End {
	if !s.counted {
		s.end.OutputTokens = output
	}
	return s.end
}

func (s *stream) count(u *usage) {
	if u == nil {
		return
	}
	s.counted = true
	s.end = boragewick.End{
		PromptTokens: u.PromptTokens,
		CachedTokens: u.Details.CachedTokens,
		OutputTokens: u.CompletionTokens,
	}
}

// readEvent returns the bytes of the next event with its blank line.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var raw []byte
	for len(raw) < maxEventBytes {
		line, err := br.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, errors.Wrap(boragewick.ErrEndpointFailed, "the stream ends before [DONE]")
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return raw, nil
		}
	}
	return nil, errors.Wrapf(boragewick.ErrEndpointFailed, "event above %d bytes", maxEventBytes)
}

// fields returns the id and the data of an event.
func fields(raw []byte) (id string, data []byte) {
	for line := range bytes.Lines(raw) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id = string(value)
		case "data":
			data = append(data, value...)
		}
	}
	return id, data
}

// final marks an error of the receiver, which no resume can mend.
func final(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errFinal)
}

// unknown returns the error without the proof that a request did not run,
// which a failed resume does not give.
func unknown(err error) error {
	if !errors.Is(err, boragewick.ErrNotRun) {
		return err
	}
	for _, sentinel := range []error{boragewick.ErrCanceled, boragewick.ErrTimeout} {
		if errors.Is(err, sentinel) {
			return errors.Wrapf(sentinel, "resume: %v", err)
		}
	}
	return errors.Wrapf(boragewick.ErrEndpointFailed, "resume: %v", err)
}
