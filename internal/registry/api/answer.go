package api

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
)

const maxResponseBytes = 64 << 20 // a backup of the largest list is below

// ReadAnswer decodes the response to a call into answer, which may be nil. The error is the *Error in the
// response, if it holds one.
func ReadAnswer(resp *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		f := &Error{}
		if json.Unmarshal(text, f) == nil && f.Code != "" {
			return f
		}
		return fmt.Errorf("%s answered %s", resp.Request.URL.Host, resp.Status)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return fmt.Errorf("%s: %w", resp.Request.URL.Host, err)
	}
	return nil
}

// IsAddress tells whether s is host:port, with neither empty.
func IsAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && host != "" && port != ""
}
