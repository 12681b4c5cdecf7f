package sidecar

import (
	"log/slog"
	"maps"
	"slices"

	"mosslead/balancer"
)

// reload applies a configuration completely, or not at all.
func (p *process) reload(r Reload) {
	file := r.Config
	if r.Err == nil {
		r.Err = file.checkReplaces(p.config)
	}
	if r.Err == nil {
		r.Config, r.Err = p.follower.overlay(file)
	}
	p.dispatcher.stats.countReload(r.Err == nil)
	if r.Err != nil {
		logWarning(componentReload, "reload rejected, configuration unchanged", r.Err)
		return
	}
	p.config = r.Config
	classes := p.applySettings(p.dispatcher.enqueueUrgent)
	logAttrs(slog.LevelInfo, componentReload, "taken", slog.Any("classes", slices.Sorted(maps.Keys(classes))), slog.String("discovery", p.config.Discovery))
	p.watcher.move(p.config.Discovery)
	if p.follower != nil {
		p.follower.fileConfig = file
	}
}

// applySettings puts the settings of the configuration in use into force, and returns the classes by name. post sends a
// command to the dispatcher. No connection is closed, and no statistics are reset.
func (p *process) applySettings(post func(any)) map[string]balancer.Class {
	command := settingsCommand{p.config.Settings.Settings, make(chan struct{})}
	post(command)
	<-command.done // the balancer must know every class before the server admits requests of it
	classes := classTable(p.config.Settings.Settings)
	p.dispatcher.stats.addClasses(slices.Collect(maps.Keys(classes)))
	p.upstreams.updateSettings(p.config.Settings)
	p.watcher.setDrainGrace(p.config.Settings.DrainGrace)
	p.server.classes.Store(&classes)
	return classes
}

// classTable returns the classes of the settings by name.
func classTable(s balancer.Settings) map[string]balancer.Class {
	classes := map[string]balancer.Class{}
	for _, class := range s.Classes {
		classes[class.Name] = class
	}
	return classes
}
