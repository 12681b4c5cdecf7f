package api

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
)

const maxResponseBytes = 64 << 20 // a backup of the largest list is smaller

// ReadAnswer decodes the response to a call into answer, which may be nil. If the response contains an *Error, it
// returns that.
func ReadAnswer(resp *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		apiErr := &Error{}
		if json.Unmarshal(body, apiErr) == nil && apiErr.Code != "" {
			return apiErr
		}
		return fmt.Errorf("%s answered %s", resp.Request.URL.Host, resp.Status)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("%s: %w", resp.Request.URL.Host, err)
	}
	return nil
}

// IsAddress reports whether s is host:port, with neither part empty.
func IsAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && host != "" && port != ""
}
