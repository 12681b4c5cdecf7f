package sidecar

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"mosslead/internal/golden"
)

// Guards against a change of the hand-over messages, which the old and the new version exchange in an upgrade.
func TestHandoverMessagesKeepTheirForm(t *testing.T) {
	golden.JSON(t, "handover", &handoverMessage{}, &handoverState{}, &connectionUse{}, &banMessage{})
	golden.Equal(t, "handover-files", fmt.Sprintln(linkName, bansName))
}

// Guards against a change of the configuration file's keys, which the platform writes. Each is read into its own field.
func TestConfigKeepsItsKeys(t *testing.T) {
	c, err := parseConfig(fmt.Appendf(nil, `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
		"ops":"127.0.0.4:9001","state":"/state","service":"orders","limits":{"cores":0.5,"memory_mb":192,"sockets":1024},
		"peers":{"address":"127.0.0.1:1","advertise":"127.0.0.1:2","seeds":["127.0.0.1:3"],"zone":"a","service":"127.0.0.1:4",
		"forward":"127.0.0.1:5","forward_advertise":"127.0.0.1:6"},"known":%s,"settings":%s}`,
		list(41, true, entry("s", "127.0.0.2:9000", "Ready")), testSettings))
	if err != nil {
		t.Fatal(err)
	}
	c.keys = nil
	golden.Equal(t, "config", golden.Values(c)+"\n")
}

// Guards against a change of the names in STATS, by which operators' tools read the figures.
func TestFiguresKeepTheirNames(t *testing.T) {
	s := statsSnapshot{classes: map[string]outcomes{"a": {served: 1, rejected: 2, failed: 3}}, accepted: 4, disconnected: 5, dispatches: 6, concurrent: 7, targets: 8,
		unavailable: 9, reloadsApplied: 10, reloadsRejected: 11}
	p := &statePersister{lastWriteErr: errors.New("full"), errorCount: 12}
	golden.Equal(t, "figures", s.lines()+p.lines(true, 13*time.Millisecond))
}
