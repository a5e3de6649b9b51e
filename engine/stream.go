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

// maxEventBytes bounds the size of an event of a stream.
const maxEventBytes = 1 << 20

// errNotResumable marks errors after which the answer can't be resumed.
var errNotResumable = errors.New("answer not resumable")

// errUnknownToEngine marks an error of a resume that the engine has refused, as it
// does for a request that it does not know.
var errUnknownToEngine = errors.New("request unknown to the engine")

// doneData is the data of the last event of a stream.
var doneData = []byte("[DONE]")

// stream is the state of one answer across all the connections that it is read from.
type stream struct {
	answer.Writer
	request *boragewick.Request
	// lastEvent is the number of the last event received.
	lastEvent int
	end       boragewick.End
	// hasUsage reports whether the counts in end come from the engine.
	hasUsage bool
}

// part holds the fields that are read from an answer or from one event of a
// streamed answer.
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

// problem is the body of an error response of the engine.
type problem struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// resumable reports whether the rest of the answer may still be obtained after err.
func (s *stream) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.IsAny(err, boragewick.ErrNotRun, errNotResumable) {
		return false
	}
	late := s.lastEvent == 0 && !s.request.Deadline.IsZero() && !time.Now().Before(s.request.Deadline)
	return !late && errors.IsAny(err, boragewick.ErrEndpointFailed, boragewick.ErrTimeout, boragewick.ErrWrongAnswer)
}

// checkHeader returns ErrWrongAnswer unless the header names the stream's request.
func (s *stream) checkHeader(resp *http.Response) error {
	return s.checkID(resp.Header.Get(endpointhttp.HeaderRequestID))
}

func (s *stream) checkID(id string) error {
	if id == string(s.request.ID) {
		return nil
	}
	return errors.Wrapf(boragewick.ErrWrongAnswer, "answer to %q", id)
}

// handleRefusal turns a response other than 200 into an error, or passes it on if
// the request itself is at fault and the caller has to correct it.
func (s *stream) handleRefusal(resp *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes+1))
	if err != nil {
		return errors.Mark(err, errNotResumable)
	}
	var p problem
	_ = json.Unmarshal(b, &p) // without a code, only the status counts
	switch {
	case p.Error.Code == "model_not_loaded":
		return boragewick.NotRun(errors.Wrap(boragewick.ErrNoEndpoint, p.Error.Message))
	case resp.StatusCode == http.StatusTooManyRequests:
		return errors.Mark(errors.Wrap(boragewick.ErrOverloaded, p.Error.Message), errNotResumable)
	case resp.StatusCode >= http.StatusInternalServerError, resp.StatusCode == http.StatusConflict:
		return errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "status %d: %s", resp.StatusCode, p.Error.Message), errNotResumable)
	}
	if len(b) > maxErrorBytes {
		return errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "status %d with over %d bytes", resp.StatusCode, maxErrorBytes), errNotResumable)
	}
	if err := s.Head(resp); err != nil {
		return markNotResumable(err)
	}
	return markNotResumable(s.End(b, boragewick.End{}))
}

// readAnswer reads the answer from one connection and emits it.
func (s *stream) readAnswer(resp *http.Response) error {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return s.readUnstreamed(resp)
	}
	br := bufio.NewReader(resp.Body)
	for {
		raw, err := readEvent(br)
		if err != nil {
			return err
		}
		done, err := s.handleEvent(resp, raw)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

// handleEvent checks and emits one event and reports whether it was the last one.
func (s *stream) handleEvent(resp *http.Response, raw []byte) (bool, error) {
	id, data := parseEvent(raw)
	if len(data) == 0 {
		return false, nil
	}
	if bytes.Equal(data, doneData) {
		return true, markNotResumable(s.End(raw, s.finalCounts(uint64(s.lastEvent))))
	}
	var p part
	if err := json.Unmarshal(data, &p); err != nil {
		return false, errors.Wrapf(boragewick.ErrEndpointFailed, "event: %v", err)
	}
	if len(p.Error) > 0 {
		return false, errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "engine: %s", p.Error), errNotResumable)
	}
	if err := s.checkID(p.ID); err != nil {
		return false, err
	}
	if id != "" && id != strconv.Itoa(s.lastEvent+1) {
		return false, errors.Wrapf(boragewick.ErrEndpointFailed, "event %s after %d", id, s.lastEvent)
	}
	s.recordUsage(p.Usage)
	if err := s.Head(resp); err != nil {
		return false, markNotResumable(err)
	}
	s.lastEvent++
	return false, markNotResumable(s.Data(raw))
}

// readUnstreamed emits an answer that is not streamed once it has been received
// completely.
func (s *stream) readUnstreamed(resp *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(b) > maxBodyBytes {
		return errors.Mark(errors.Wrapf(boragewick.ErrEndpointFailed, "answer above %d bytes", maxBodyBytes), errNotResumable)
	}
	var p part
	if err := json.Unmarshal(b, &p); err != nil {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "answer: %v", err)
	}
	if err := s.checkID(p.ID); err != nil {
		return err
	}
	s.recordUsage(p.Usage)
	if err := s.Head(resp); err != nil {
		return markNotResumable(err)
	}
	return markNotResumable(s.End(b, s.finalCounts(uint64(len(b))/boragewick.BytesPerToken)))
}

// finalCounts returns the token counts of the engine. If it sent none, output is the
// estimated number of output tokens.
func (s *stream) finalCounts(output uint64) boragewick.End {
	if !s.hasUsage {
		s.end.OutputTokens = output
	}
	return s.end
}

func (s *stream) recordUsage(u *usage) {
	if u == nil {
		return
	}
	s.hasUsage = true
	s.end = boragewick.End{
		PromptTokens: u.PromptTokens,
		CachedTokens: u.Details.CachedTokens,
		OutputTokens: u.CompletionTokens,
	}
}

// readEvent returns the bytes of the next event, including the blank line that ends
// it.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var raw []byte
	lineStart := 0
	for len(raw) < maxEventBytes {
		part, err := br.ReadSlice('\n')
		raw = append(raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, errors.Wrap(boragewick.ErrEndpointFailed, "the stream ends before [DONE]")
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(raw[lineStart:], "\r\n")) == 0:
			return raw, nil
		}
		lineStart = len(raw)
	}
	return nil, errors.Wrapf(boragewick.ErrEndpointFailed, "event above %d bytes", maxEventBytes)
}

// parseEvent returns the id and data fields of an event.
func parseEvent(raw []byte) (id string, data []byte) {
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

// markNotResumable marks an error that a resume can't correct, such as one of the
// receiver.
func markNotResumable(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errNotResumable)
}

// withoutNotRun returns the error without the NotRun mark: that a resume did not
// reach the engine does not prove that the request did not run.
func withoutNotRun(err error) error {
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
