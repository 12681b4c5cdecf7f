// Command memory: many clients send large bodies slowly. The sidecar must stay within its memory limit, over which the platform kills it.
package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"standin/rig"
)

const (
	memoryMB  = 32
	sockets   = 1024
	clients   = 320 // "at most a third of the descriptors": 341
	upstreams = 12
	bodyBytes = 8 << 20
	piece     = 16 << 10
	rate      = 128 << 10 // bytes per second of each client; the pages allow 64 kB a second
	length    = 30 * time.Second
	overFor   = 5 // samples in a row over the limit
	sampling  = 20 * time.Millisecond
)

func main() { rig.Main(play) }

var anonymous = regexp.MustCompile(`RssAnon:\s*(\d+) kB`)

// memory returns the process's own memory in bytes: anonymous pages only, neither the program's file nor the kernel's buffers.
func memory(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if m := anonymous.FindSubmatch(text); m != nil {
		kb, _ := strconv.Atoi(string(m[1]))
		return kb << 10
	}
	return 0
}

func play(c *rig.Case) (int, error) {
	serve := func(conn net.Conn, a *rig.Arrival) bool {
		time.Sleep(50 * time.Millisecond)
		return rig.Answer(conn, "booked "+a.ID)
	}
	if err := c.StartUpstreams(upstreams, []string{"makati", "cebu", "davao", "iloilo"}, func(*rig.Arrival) {}, serve); err != nil {
		return 2, err
	}
	if err := c.StartSidecar(rig.ManilaSettings(), rig.Limits(memoryMB, sockets)); err != nil {
		return 2, err
	}
	var mu sync.Mutex
	answered, unanswered := map[int]int{}, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			if c.Trouble {
				status := upload(c, n, stop)
				mu.Lock()
				defer mu.Unlock()
				switch status {
				case stopped:
				case 0:
					unanswered++
				default:
					answered[status]++
				}
				return
			}
			small(c, n, stop, func(status int) {
				mu.Lock()
				answered[status]++
				mu.Unlock()
			})
		})
	}
	most, over, killed := 0, 0, false
	for end := time.Now().Add(length); time.Now().Before(end) && !killed; time.Sleep(sampling) {
		used := memory(c.Sidecar.Pid())
		if used > most {
			most = used
			c.Rec.Log("the sidecar's own memory: %.1f MB of %d", float64(used)/(1<<20), memoryMB)
		}
		if over++; used <= memoryMB<<20 {
			over = 0
		}
		if over >= overFor {
			c.Rec.Log("the platform kills the sidecar: over memory_mb")
			c.Sidecar.Kill()
			killed = true
			time.Sleep(500 * time.Millisecond)
		}
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.Rec.Say("most memory of the sidecar's own %.1f MB of %d; answers by status %v; requests cut off without an answer %d", float64(most)/(1<<20), memoryMB, answered, unanswered)
	if killed {
		c.Rec.Say("RULE BROKEN (crash): the sidecar was over memory_mb and was killed")
		return 1, nil
	}
	c.Rec.Say("the limit on memory was kept")
	return 0, nil
}

const stopped = -1

// upload sends one request with a large body, slowly, and returns the status of its answer, 0 if the connection ended without one, or stopped.
func upload(c *rig.Case, n int, stop <-chan struct{}) int {
	conn, err := rig.Dial(c.Sidecar.Listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	replies := make(chan rig.Reply, 1)
	go func() { replies <- rig.ReadReply(conn.R) }()
	q := rig.Request{Method: "POST", Class: "charge-ship", Tenant: "bukid-beans", ID: rig.ID(), Key: fmt.Sprintf("k-%d", n), Timeout: 3 * time.Second}
	fmt.Fprintf(conn, "POST /charge-ship/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: charge-ship\r\nX-Tenant-Id: bukid-beans\r\nX-Timeout: 3000m\r\nContent-Length: %d\r\n\r\n",
		q.Key, q.ID, bodyBytes)
	c.Rec.Log("client: request %s with a body of %d bytes begins", q.ID, bodyBytes)
	part := strings.Repeat("a", piece)
	ticker := time.NewTicker(time.Second * piece / rate)
	defer ticker.Stop()
	for sent := 0; sent < bodyBytes; {
		select {
		case <-stop:
			return stopped
		case r := <-replies:
			c.Rec.Log("client: request %s was answered %d %v", q.ID, r.Status, r.Err)
			return r.Status
		case <-ticker.C:
		}
		k, err := conn.Write([]byte(part))
		sent += k
		if err != nil {
			break
		}
	}
	r := <-replies
	c.Rec.Log("client: request %s was answered %d %v", q.ID, r.Status, r.Err)
	return r.Status
}

// small sends requests with a small body, one a second, on one connection.
func small(c *rig.Case, n int, stop <-chan struct{}, onAnswer func(status int)) {
	conn, err := rig.Dial(c.Sidecar.Listen)
	if err != nil {
		onAnswer(0)
		return
	}
	defer conn.Close()
	for {
		q := rig.Request{Method: "POST", Class: "charge-ship", Tenant: "bukid-beans", ID: rig.ID(), Key: fmt.Sprintf("k-%d", n), Timeout: 3 * time.Second, Body: strings.Repeat("a", 200)}
		if _, err := conn.Write([]byte(q.Text())); err != nil {
			return
		}
		r := rig.ReadReply(conn.R)
		c.Rec.Log("client: request %s was answered %d %v", q.ID, r.Status, r.Err)
		onAnswer(r.Status)
		if r.Err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
