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

// startService starts a service and returns its address. It answers each call with the call's body. It sends each watch one line, which
// is empty for a watch from version 9, and then the lines from the channel for the watch's version.
func startService(t *testing.T, lines map[string]chan string) string {
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
			case line, open = <-lines[r.FormValue("from")]:
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

// Guards against a record that lacks a message or contains one that was not sent, and against a tap that keeps a connection open.
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
	ask := func(want bool, method, path, body string) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+tap.Address()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			defer func() { _ = resp.Body.Close() }()
			if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusTeapot || string(text) != "said "+body+"\n" {
				t.Errorf("%s: got status %d and body %q, want %d and %q", path, resp.StatusCode, text, http.StatusTeapot, "said "+body+"\n")
			}
		}
		if (err == nil) != want {
			t.Errorf("%s: got error %v, want an answer: %v", path, err, want)
		}
	}
	openWatch := func(from string) (next func() string) {
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
	ask(true, "PUT", "/before", "x") // no step has begun
	record.Step("one")
	ask(true, "PUT", "/v1/x?y=1", "x")
	tap.Lose(func(call string) (request, answer bool) { return call == "PUT /way", call == "PUT /back" })
	tap.Skip(func(call, body string) bool { return call == "PUT /skip" && body == "it" })
	ask(true, "PUT", "/skip", "it")
	ask(false, "PUT", "/way", "x")
	ask(false, "PUT", "/back", "x")
	record.Step("two")
	first := openWatch("1")
	first()
	more["1"] <- "{1}\n"
	if got := first(); got != "{1}\n" {
		t.Errorf("line of the watch: got %q, want %q", got, "{1}\n")
	}
	tap.Cut(true)
	if got := first(); got == "" || strings.HasPrefix(got, "{") {
		t.Errorf("watch after the cut: got %q, want an error", got)
	}
	ask(false, "GET", "/cut", "")
	record.Step("three")
	tap.Only(1, true)
	tap.Cut(false)
	openWatch("9")()
	again := openWatch("2")
	again() // this line was delivered before
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
		t.Errorf("record: got\n%s\nwant\n%s", got, want)
	}
	if _, err := http.Get("http://" + tap.Address()); err == nil {
		t.Error("call to a closed tap: got an answer, want an error")
	}
}
