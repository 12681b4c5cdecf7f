package sidecar

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// configText returns the text of a configuration with one upstream.
func configText(discovery, address, settings string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:9000","ops":"127.0.0.1:0","discovery":%q,"seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery, list(1, true, entry("s", address, "Ready")), settings)
}

const probeClass = `{"Name":"probe","Semantics":"fragile","AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5},
  {"Name":"search"`

// Guards against a reload that applies a part of a file, or nothing: classes are added and removed by SIGHUP, a request that
// is in flight keeps its class, and a file with any error changes nothing.
func TestRetune(t *testing.T) {
	release := make(chan struct{})
	s := newUpstream(t, func(c net.Conn, g receivedRequest) bool {
		if strings.HasPrefix(g.target, "/record/") {
			<-release
		}
		return respondWith(ok200("done"))(c, g)
	})
	d := quietDiscovery(t)
	read := func(settings string) (*Config, error) {
		return parseConfig([]byte(configText(d.address, s.address, settings)))
	}
	c, err := read(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	r := start(t, c, "127.0.0.1:0")
	pending := r.doAsync(request(t, r.address, "record", ""))
	eventually(t, "the request at the upstream", func() bool { return len(s.requests()) == 1 })

	more := strings.Replace(testSettings, `{"Name":"search"`, probeClass, 1)
	renamed := strings.Replace(more, `{"Name":"record"`, `{"Name":"note"`, 1)
	for name, change := range map[string][2]string{
		"no attempts":          {`"SendCap":5`, `"SendCap":0`},
		"null attempts":        {`"SendCap":5`, `"SendCap":null`},
		"attempts as text":     {`"SendCap":5`, `"SendCap":"5"`},
		"negative deadline":    {`"DeadlineMs":10000`, `"DeadlineMs":-1`},
		"no deadline":          {`"DeadlineMs":10000,`, ``},
		"deadline as text":     {`"DeadlineMs":10000`, `"DeadlineMs":"soon"`},
		"a limit that is gone": {`"SecondCopies":true,`, ``},
		"a rule that is gone":  {`"FallMs":2000,`, ``},
		"cut short":            {`"Tenants":[]}`, ``},
	} {
		text := strings.Replace(renamed, change[0], change[1], 1)
		if text == renamed {
			t.Fatalf("%s: got the same settings text, want a changed one", name)
		}
		c, err := read(text)
		r.reloads <- Reload{c, err}
		if resp, _ := r.do(t, request(t, r.address, "note", "")); resp.StatusCode != 404 {
			t.Errorf("%s: got status %s for a class of the file, want 404", name, resp.Status)
		}
	}
	c, err = read(renamed)
	if err != nil {
		t.Fatal(err)
	}
	r.reloads <- Reload{c, nil}
	eventually(t, "the new class", func() bool {
		resp, _ := r.do(t, request(t, r.address, "probe", ""))
		return resp.StatusCode == 200
	})
	if resp, _ := r.do(t, request(t, r.address, "record", "")); resp.StatusCode != 404 {
		t.Errorf("got status %s for the removed class, want 404", resp.Status)
	}
	close(release)
	if got := <-pending; got != "200 done" {
		t.Errorf("request of the removed class: got %s, want 200 done", got)
	}
	eventually(t, "counts", func() bool {
		figures := r.adminCall(t, "STATS\n")
		return strings.Contains(figures, "gw.reload_success:1|c") && strings.Contains(figures, "gw.reload_failure:9|c") &&
			strings.Contains(figures, "gw.success.probe:") && strings.Contains(figures, "gw.success.record:1|c")
	})
}

// Guards against accepting a request that was checked by settings that the balancer no longer has: it might be sent twice.
func TestRequestCheckedByOldSettingsIsRejected(t *testing.T) {
	d := newTestDispatcher(t, nil)
	r := d.newRequest("1", "search")
	r.classSettings.Name = "search"
	d.onEvent(requestArrived{r})
	if a := <-r.answer; a.kind != rejected || len(d.inFlight) != 0 {
		t.Errorf("got answer %+v, %d requests in flight, want kind %d, 0", a, len(d.inFlight), rejected)
	}
}
