package watch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

const whitespace = " \t\r\n"

// Messages decodes a stream of JSON objects, each on one line or indented over several. What is between them
// never reaches the decoder, which would store it: empty lines are heartbeats, and come for days.
type Messages struct {
	body      io.Reader
	buffered  []byte           // read behind the latest message
	inMessage bool             // within a message
	maxBytes  int              // bytes of one message
	bytesLeft int              // left for the present message
	onData    func(blank bool) // called for each part of a message and, with blank, each empty line between messages
}

// NewMessages reads from body, maxBytes of one message at most.
func NewMessages(body io.Reader, maxBytes int) *Messages {
	return &Messages{body: body, maxBytes: maxBytes, onData: func(bool) {}}
}

// Next waits for a message and decodes it into m. io.EOF: the stream ended between two messages.
func (s *Messages) Next(m any) error {
	s.inMessage, s.bytesLeft = false, s.maxBytes
	d := json.NewDecoder(s)
	if err := d.Decode(m); err != nil {
		return err
	}
	behind, err := io.ReadAll(d.Buffered())
	s.buffered = append(behind, s.buffered...)
	return err
}

// Read implements io.Reader for the decoder.
func (s *Messages) Read(p []byte) (int, error) {
	if s.bytesLeft == 0 {
		return 0, fmt.Errorf("over %d bytes", s.maxBytes)
	}
	p = p[:min(len(p), s.bytesLeft)]
	for {
		n, again := copy(p, s.buffered), len(s.buffered) > 0
		var err error
		if s.buffered = s.buffered[n:]; !again {
			n, err = s.body.Read(p)
		}
		text := p[:n]
		if !s.inMessage {
			text = bytes.TrimLeft(text, whitespace)
		}
		blank := len(bytes.TrimLeft(text, whitespace)) == 0
		if n > 0 && !again && (!blank || !s.inMessage) { // empty lines within a message are no progress
			s.onData(blank)
		}
		if len(text) == 0 && err == nil {
			continue
		}
		s.inMessage = s.inMessage || len(text) > 0
		s.bytesLeft -= len(text)
		return copy(p, text), err
	}
}
