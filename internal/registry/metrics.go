package registry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// serveMetrics serves the metrics at their own address, until stop is called.
func (n *Node) serveMetrics(running *sync.WaitGroup) (stop func(), err error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, f func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "mosslead", Subsystem: "registry", Name: name, Help: help}, f))
	}
	bit := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("entries", "Entries in the list.", func() float64 { return float64(n.Status().Endpoints) })
	gauge("version", "Version of the list.", func() float64 { return float64(n.Status().Revision) })
	gauge("watchers", "Open watches.", func() float64 { return float64(n.watches.activeCount()) })
	gauge("stale_seconds", "The list here may be so old.", func() float64 { return float64(n.Status().StalenessMs) / 1000 })
	gauge("leader", "1 on the replica that leads.", func() float64 { return bit(n.isLeader()) })
	gauge("epoch", "Term of the log.", func() float64 { return float64(n.Status().Term) })
	gauge("silent_leases", "Servers whose lease has lapsed, as the leader knows.", func() float64 { return float64(len(n.Status().ExpiredLeases)) })
	gauge("preserving", "1 while entries are kept since too many leases lapsed at once.", func() float64 { return bit(n.Status().Preserving) })
	ln, err := net.Listen("tcp", n.config.Metrics)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	server := &http.Server{Handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), ReadHeaderTimeout: 5 * time.Second}
	running.Go(func() { _ = server.Serve(ln) })
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	}, nil
}
