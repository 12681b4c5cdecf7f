package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against request smuggling: a request whose end is ambiguous is rejected, no part of it is sent to an upstream, and
// nothing after it is read.
func TestNothingInsideABodyIsARequest(t *testing.T) {
	s := newUpstream(t, respondWith(ok200("")))
	r := start(t, testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready")), "127.0.0.1:0")
	const inner = "POST /confirm/2 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000f2\r\nContent-Length: 0\r\n\r\n"
	const rest = "Host: s\r\nX-Request-ID: 00000000000000f1\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"chunks beside a length": {"POST /confirm/1 HTTP/1.1\r\n" + rest +
			"Content-Length: 88\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"the same length twice": {"POST /confirm/1 HTTP/1.1\r\n" + rest + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400"},
		"two lengths in one":    {"POST /confirm/1 HTTP/1.1\r\n" + rest + "Content-Length: 3, 3\r\n\r\nabc", "400"},
		"chunks on a folded line beside a length": {"POST /confirm/1 HTTP/1.1\r\n" + rest +
			"Content-Length: 88\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n", "400"},
		"a chunk that is longer than its stated size": {"POST /confirm/1 HTTP/1.1\r\n" + rest +
			"Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", "400"},
		"chunks with GET": {"GET /search/1 HTTP/1.1\r\n" + rest + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"chunks to an own page": {"GET /-/ready HTTP/1.1\r\n" + rest +
			"Content-Length: 88\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"chunks to an own page that does not exist": {"POST /-/none HTTP/1.1\r\n" + rest +
			"Content-Length: 88\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"chunks with HTTP/1.0": {"POST /confirm/1 HTTP/1.0\r\n" + rest +
			"Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n", "505"},
		"a body with GET": {"GET /search/1 HTTP/1.1\r\n" + rest + "Content-Length: 88\r\n\r\n", "400"},
	} {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.WriteString(conn, c.text+inner); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if !strings.HasPrefix(resp.Status, c.want) {
			t.Errorf("%s: got %s, want %s", name, resp.Status, c.want)
		}
		if second, err := http.ReadResponse(reader, nil); err == nil {
			_ = second.Body.Close()
			t.Errorf("%s: the bytes after the request were answered with %s, want no answer", name, second.Status)
		}
		_ = conn.Close()
	}
	if got := s.requests(); len(got) != 0 {
		t.Errorf("%d requests reached the upstream, the first %s %s; want 0", len(got), got[0].method, got[0].target)
	}
}
