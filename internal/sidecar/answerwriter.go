package sidecar

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"
)

const duplicateText = "a request of this id is in hand, or was"

// writeAnswer writes a final answer. A large one needs memory for a use.
func (s *server) writeAnswer(w http.ResponseWriter, a answer, use memoryUse) error {
	switch a.kind {
	case served:
		maps.Copy(w.Header(), a.reply.header)
		if a.reply.rest != nil {
			return s.stream(w, &a.reply, use)
		}
		s.write(w, http.StatusOK, a.reply.body)
	case rejected:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		s.writeLine(w, http.StatusServiceUnavailable, "refused: not done, trying again is harmless")
	case duplicate:
		s.writeLine(w, http.StatusConflict, duplicateText)
	default:
		s.writeLine(w, http.StatusBadGateway, "failed")
	}
	return nil
}

// transferBuffer returns a buffer for an answer that is streamed, and what is reserved for it. While memory is short it is small. If there is
// no memory for the answer, ok is false.
func (s *server) transferBuffer(use memoryUse) (buf []byte, reserved int64, ok bool) {
	if !s.memory.reserve(answerMemory+minTransferBytes, use, maxAnswerMemoryWait, s.stop) {
		return nil, 0, false
	}
	size := minTransferBytes + s.memory.reserveUpTo(maxTransferBytes-minTransferBytes, useTransfers)
	return make([]byte, size), answerMemory + size, true
}

// stream writes an answer to the client as it arrives. It returns an error if the client did not receive the complete answer, and
// errNoMemory if nothing of it was written.
func (s *server) stream(w http.ResponseWriter, rep *attemptReply, use memoryUse) error {
	buf, reserved, ok := s.transferBuffer(use)
	if !ok {
		return errNoMemory
	}
	defer s.memory.releaseLasting(reserved, 1)
	length := ""
	if rep.rest.length >= 0 {
		length = strconv.FormatInt(rep.rest.length, 10)
	}
	s.writeHead(w, http.StatusOK, length)
	conn := http.NewResponseController(w)
	part, err := rep.body, error(nil)
	for {
		if len(part) > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection only
			if _, err := w.Write(part); err != nil {
				return fmt.Errorf("writing an answer to the client: %w", err)
			}
			if err := conn.Flush(); err != nil {
				return fmt.Errorf("writing an answer to the client: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading the rest of an answer: %w", err)
		}
		rep.release()
		var n int
		n, err = rep.rest.read(buf)
		part = buf[:n]
	}
}

// writeLine writes a one-line answer of the sidecar itself.
func (s *server) writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, status, []byte(line+"\n"))
}

// write writes an answer with a complete body.
func (s *server) write(w http.ResponseWriter, status int, body []byte) {
	// SetWriteDeadline fails only on a closed connection, on which the write then fails too.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.writeHead(w, status, strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails if the client has disconnected
}

// writeHead writes the head of an answer. Without a length, the body is sent in chunks.
func (s *server) writeHead(w http.ResponseWriter, status int, length string) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if w.Header().Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // otherwise net/http guesses one
	}
	w.Header().Del("Content-Length")
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(status)
}
