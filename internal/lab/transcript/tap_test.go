package transcript

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// startService is a service that answers calls with what they say, and tells each watch a line, an empty one where it is asked from 9, and then
// whatever comes for the version that it is asked from.
func startService(t *testing.T, more map[string]chan string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.FormValue("watch") == "" {
			body, _ := io.ReadAll(r.Body)
			rw.WriteHeader(http.StatusTeapot)
			_, _ = fmt.Fprintf(rw, "said %s\n", body)
			return
		}
		line := "{}\n"
		if r.FormValue("from") == "9" {
			line = "\n"
		}
		for {
			_, _ = io.WriteString(rw, line)
			_ = http.NewResponseController(rw).Flush()
			var open bool
			select {
			case line, open = <-more[r.FormValue("from")]:
			case <-r.Context().Done():
			}
			if !open {
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a record that leaves something out, or tells what did not happen, and against a tap that holds on to a connection.
func TestATapWritesDownWhatPasses(t *testing.T) {
	more := map[string]chan string{"1": make(chan string), "2": make(chan string), "9": make(chan string)}
	record := NewScript()
	record.Between("b", "c")
	tap, err := NewTap(record, "a", "b", "127.0.0.1", startService(t, more))
	if err != nil {
		t.Fatal(err)
	}
	closed := false
	defer func() {
		if !closed {
			tap.Close()
		}
	}()
	asks := func(want bool, method, path, body string) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+tap.Address()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			defer func() { _ = resp.Body.Close() }()
			if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusTeapot || string(text) != "said "+body+"\n" {
				t.Errorf("%s: %d %s", path, resp.StatusCode, text)
			}
		}
		if (err == nil) != want {
			t.Errorf("%s: %v, want an answer: %v", path, err, want)
		}
	}
	watches := func(from string) (next func() string) {
		t.Helper()
		resp, err := http.Get("http://" + tap.Address() + "/api/targets?watch=1&from=" + from)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = resp.Body.Close() })
		in := bufio.NewReader(resp.Body)
		return func() string {
			line, err := in.ReadString('\n')
			if err != nil {
				return err.Error()
			}
			return line
		}
	}
	asks(true, "PUT", "/before", "x") // no step has begun
	record.Step("one")
	asks(true, "PUT", "/v1/x?y=1", "x")
	tap.Lose(func(call string) (way, back bool) { return call == "PUT /way", call == "PUT /back" })
	tap.Skip(func(call, body string) bool { return call == "PUT /skip" && body == "it" })
	asks(true, "PUT", "/skip", "it")
	asks(false, "PUT", "/way", "x")
	asks(false, "PUT", "/back", "x")
	record.Step("two")
	first := watches("1")
	first()
	more["1"] <- "{1}\n"
	if got := first(); got != "{1}\n" {
		t.Errorf("passed on: %q", got)
	}
	tap.Cut(true)
	if got := first(); got == "" || strings.HasPrefix(got, "{") {
		t.Errorf("after the cut: %q", got)
	}
	asks(false, "GET", "/cut", "")
	record.Step("three")
	tap.Only(1, true)
	tap.Cut(false)
	watches("9")()
	again := watches("2")
	again() // was told before
	more["2"] <- "{2}\n"
	if err := record.Await(t.Context(), "b", "a", "{2}"); err != nil {
		t.Error(err)
	}
	record.Say("c", "c", "two\nlines")
	tap.Close()
	closed = true
	const want = `== one
a > b: PUT /v1/x?y=1 x
b > a: 418 said x
a > b: PUT /way x
b > a: (the call is lost)
a > b: PUT /back x
b > a: (lost) 418 said x

== two
a > b: GET /api/targets?watch=1&from=1
b > a: {}
b > a: {1}

== three
a > b: GET /api/targets?watch=1&from=9
b > a: (an empty line)
b > a: {2}
c: two
	lines
`
	if got := record.Text(); got != want {
		t.Errorf("recorded:\n%s", got)
	}
	if _, err := http.Get("http://" + tap.Address()); err == nil {
		t.Error("a closed tap answers")
	}
}
