package sidecar

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// configText is a configuration over one upstream.
func configText(discovery, address, settings string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:9000","ops":"127.0.0.1:0","discovery":%q,"seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery, list(1, true, entry("s", address, "Ready")), settings)
}

const moreSettings = `{"Name":"probe","Semantics":"fragile","AimMs":5000,"DeadlineMs":10000,"Importance":1,"LateShare":0.5},
  {"Name":"search"`

// Guards against a reload that takes part of a file, or none: classes come and go with SIGHUP, what is open keeps its
// class, and a file with anything wrong changes nothing.
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
	open := r.doAsync(request(t, r.address, "record", ""))
	eventually(t, "the request at the upstream", func() bool { return len(s.requests()) == 1 })

	more := strings.Replace(testSettings, `{"Name":"search"`, moreSettings, 1)
	fresh := strings.Replace(more, `{"Name":"record"`, `{"Name":"note"`, 1)
	for name, bad := range map[string][2]string{
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
		text := strings.Replace(fresh, bad[0], bad[1], 1)
		if text == fresh {
			t.Fatalf("%s: nothing changed", name)
		}
		c, err := read(text)
		r.reloads <- Reload{c, err}
		if resp, _ := r.do(t, request(t, r.address, "note", "")); resp.StatusCode != 404 {
			t.Errorf("%s: taken", name)
		}
	}
	c, err = read(fresh)
	if err != nil {
		t.Fatal(err)
	}
	r.reloads <- Reload{c, nil}
	eventually(t, "the new class", func() bool {
		resp, _ := r.do(t, request(t, r.address, "probe", ""))
		return resp.StatusCode == 200
	})
	if resp, _ := r.do(t, request(t, r.address, "record", "")); resp.StatusCode != 404 {
		t.Errorf("the class that was dropped: %s", resp.Status)
	}
	close(release)
	if got := <-open; got != "200 done" {
		t.Errorf("open under the class that was dropped: %s", got)
	}
	eventually(t, "counts", func() bool {
		figures := r.adminCall(t, "STATS\n")
		return strings.Contains(figures, "gw.reload_success:1|c") && strings.Contains(figures, "gw.reload_failure:9|c") &&
			strings.Contains(figures, "gw.success.probe:") && strings.Contains(figures, "gw.success.record:1|c")
	})
}

// Guards against a request that was checked by rules that the balancer has no more: it might be sent twice.
func TestRequestCheckedByOldSettingsIsRejected(t *testing.T) {
	l := testLoop(t, nil)
	r := l.newRequest("1", "search")
	r.settings.Name = "search"
	l.onEvent(requestArrived{r})
	if a := <-r.answer; a.kind != rejected || len(l.inFlight) != 0 {
		t.Errorf("answered %+v, %d in hand", a, len(l.inFlight))
	}
}
