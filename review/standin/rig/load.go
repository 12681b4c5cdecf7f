package rig

import (
	"fmt"
	"sync"
	"time"
)

// Load sends requests to the case's sidecar, one each interval for a time, as the protocol page has it: one at a time on a connection, which is
// kept; another connection where all are busy. next gives the n-th request, without its id and key; onReply gets what came of it.
func Load(c *Case, interval, length time.Duration, next func(n int) Request, onReply func(Request, Reply)) {
	idle := make(chan *Conn, 1024)
	var wg sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		q := next(n)
		q.ID, q.Key = ID(), fmt.Sprintf("k-%d", n%2000)
		wg.Go(func() {
			var conn *Conn
			select {
			case conn = <-idle:
			default:
			}
			reply := send(c, &conn, q)
			c.Rec.Log("client: request %s of class %s was answered %d %v", q.ID, q.Class, reply.Status, reply.Err)
			onReply(q, reply)
			if reply.Err != nil || reply.Closes {
				if conn != nil {
					_ = conn.Close()
				}
				return
			}
			idle <- conn
		})
	}
	wg.Wait()
}

// send sends a request and reads its answer. Where the sidecar has closed a resting connection without an answer, the request goes once more on a
// new connection.
func send(c *Case, conn **Conn, q Request) Reply {
	fresh := *conn == nil
	if fresh {
		opened, err := Dial(c.Sidecar.Listen)
		if err != nil {
			return Reply{Err: err, At: time.Now()}
		}
		*conn = opened
	}
	_ = (*conn).SetDeadline(time.Now().Add(q.Timeout + 2*time.Second))
	_, err := (*conn).Write([]byte(q.Text()))
	var reply Reply
	if err != nil {
		reply = Reply{Err: err, At: time.Now()}
	} else {
		reply = ReadReply((*conn).R)
	}
	if reply.Err != nil && reply.Status == 0 && !fresh {
		_ = (*conn).Close()
		*conn = nil
		return send(c, conn, q)
	}
	return reply
}
