package plays

import (
	"io"
	"net"
	"time"

	"mosslead/internal/lab/proc"
)

const (
	exchanges     = 4000
	exchangeBytes = 200
)

// measureExchange returns what a bare exchange over loopback takes on this machine now: the processor time of both ends, which are in
// this process, and the median duration. Measurements of different machines can be compared as multiples of these
// times.
func measureExchange() (cpu, median time.Duration, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = ln.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		buf := make([]byte, exchangeBytes)
		for {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			if _, err := c.Write(buf); err != nil {
				return
			}
		}
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close(); <-done }()
	buf := make([]byte, exchangeBytes)
	lags := make([]time.Duration, 0, exchanges)
	before := proc.OwnCPU()
	for range exchanges {
		begun := time.Now()
		if _, err := c.Write(buf); err != nil {
			return 0, 0, err
		}
		if _, err := io.ReadFull(c, buf); err != nil {
			return 0, 0, err
		}
		lags = append(lags, time.Since(begun))
	}
	return (proc.OwnCPU() - before) / exchanges, quantile(lags, 0.5), nil
}
