package watch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

const whitespace = " \t\r\n"

// Messages decodes a stream of JSON objects, each on one line or indented over several. White space between them
// never reaches the decoder, which would store it: empty lines are heartbeats, and may continue for days.
type Messages struct {
	body      io.Reader
	buffered  []byte           // bytes read from body that follow the latest message
	inMessage bool             // whether a message has begun
	maxBytes  int              // limit of the bytes of one message
	bytesLeft int              // how many more bytes the current message may have
	onData    func(blank bool) // called for each read from body; blank is set if it returned only white space between messages
}

// NewMessages returns a decoder of the messages in body, each of at most maxBytes.
func NewMessages(body io.Reader, maxBytes int) *Messages {
	return &Messages{body: body, maxBytes: maxBytes, onData: func(bool) {}}
}

// Next waits for a message and decodes it into v. It returns io.EOF if the stream ended between two messages.
func (m *Messages) Next(v any) error {
	m.inMessage, m.bytesLeft = false, m.maxBytes
	decoder := json.NewDecoder(m)
	if err := decoder.Decode(v); err != nil {
		return err
	}
	unread, err := io.ReadAll(decoder.Buffered())
	m.buffered = append(unread, m.buffered...)
	return err
}

// Read implements io.Reader for the decoder.
func (m *Messages) Read(p []byte) (int, error) {
	if m.bytesLeft == 0 {
		return 0, fmt.Errorf("over %d bytes", m.maxBytes)
	}
	p = p[:min(len(p), m.bytesLeft)]
	for {
		n, fromBuffer := copy(p, m.buffered), len(m.buffered) > 0
		var err error
		if m.buffered = m.buffered[n:]; !fromBuffer {
			n, err = m.body.Read(p)
		}
		text := p[:n]
		if !m.inMessage {
			text = bytes.TrimLeft(text, whitespace)
		}
		blank := len(bytes.TrimLeft(text, whitespace)) == 0
		if n > 0 && !fromBuffer && (!blank || !m.inMessage) { // white space within a message does not count as progress
			m.onData(blank)
		}
		if len(text) == 0 && err == nil {
			continue
		}
		m.inMessage = m.inMessage || len(text) > 0
		m.bytesLeft -= len(text)
		return copy(p, text), err
	}
}
