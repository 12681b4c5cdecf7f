package capacity

const callsQuantile = 0.99 // share of calls within a latency: the operators' figures are for 99 in 100

// rows returns the rows for the program as it was before it had documents and regions.
func (b *builder) rows() (rows []Row) {
	o, a, l := b.fleet.Operators, b.fleet.Assumed, b.load
	add := func(f figure, r Row) { rows = append(rows, f.inRow(r)) }
	n := o.Upstreams.Value
	entries := singleSize("entries", n)
	const (
		asked       = "operators"
		assumed     = "assumed"
		requestsIn  = "`internal/sidecar` server, upstream; `balancer.Balancer`"
		listIn      = "`internal/watch.Follower`, `internal/sidecar` directory"
		watchesOut  = "`internal/registry` watches"
		quorum      = "`internal/registry.Node`, `internal/registry/list.List`"
		stateOut    = "`internal/sidecar` keeper, `internal/state.Store`"
		sharingPart = "`internal/peer.Carrier`, `internal/breaker.Board`"
	)

	const requests = "sidecar: requests"
	add(b.estimate("calls", "added_p99_ms", singleSize("calls", l.CallsMean)), Row{Role: requests, What: "added to a call, 99 in 100", Day: Steady, Unit: "ms", Budget: o.AddedMs.Value, BudgetFrom: asked,
		Mechanism: requestsIn, Carried: true, PerYear: daysPerYear, Note: "difference of the quantiles through and straight"})
	add(b.estimate("calls", "added_p50_ms", singleSize("calls", l.CallsMean)), Row{Role: requests, What: "added to a call, median", Day: Steady, Unit: "ms", BudgetFrom: noBudget,
		Mechanism: requestsIn, Carried: true, PerYear: daysPerYear})
	add(b.estimate("calls", "core_share", singleSize("calls", l.CallsMean)), Row{Role: requests, What: "processor time at the mean rate", Day: Steady, Unit: "of a core", BudgetFrom: noBudget,
		Mechanism: requestsIn, Carried: true, PerYear: daysPerYear, Note: "control is in it, too"})
	add(b.estimate("calls", "core_share", singleSize("calls", l.CallsPeak)), Row{Role: requests, What: "processor time at the busiest's peak", Day: Worst, Unit: "of a core", BudgetFrom: noBudget,
		Mechanism: requestsIn, Carried: true, PerYear: daysPerYear})

	const chain = "a row of 22 calls"
	add(exactFigure(l.ChainAddedMs), Row{Role: chain, What: "added, if each adds what 99 in 100 may", Day: Steady, Unit: "ms", BudgetFrom: noBudget, Mechanism: requestsIn, Carried: true, PerYear: daysPerYear})
	add(exactFigure(l.ChainDeadlineLeftMs), Row{Role: chain, What: "left of the first call's deadline at the last", Day: Steady, Unit: "ms", BudgetFrom: noBudget, Mechanism: "`internal/sidecar` upstream: each attempt is told the time that is left", Carried: true, PerYear: daysPerYear})
	add(exactFigure(l.ChainSlow), Row{Role: chain, What: "rows that meet a sidecar that is slow itself, where one in a hundred is", Day: Steady, Unit: "of rows", Budget: 1 - callsQuantile, BudgetFrom: "operators: 99 in 100",
		Mechanism: None + ": breakers leave upstreams out, a sidecar only doubts itself (`internal/breaker.Board`)", PerYear: daysPerYear, Touches: n * a.SlowShare.Value, Note: "the load's arithmetic, on an assumption"})
	add(exactFigure(l.ChainRetries), Row{Role: chain, What: "attempts at the last for one call at the head, all failing there", Day: Worst, Unit: "times", BudgetFrom: noBudget,
		Mechanism: None + " for the row: each sidecar bounds its own (`balancer.Balancer`)", PerYear: o.RacksPerYear.Value + o.ZonesPerYear.Value, Touches: l.PerService, Note: "the load's arithmetic"})

	const list = "sidecar: list"
	add(b.estimate("sidecar", "memory_mb", entries), Row{Role: list, What: "memory of the process", Day: Steady, Unit: "MB", Budget: o.SidecarMemoryMB.Value, BudgetFrom: asked,
		Mechanism: listIn, Carried: true, PerYear: daysPerYear, Note: "all of it, not control alone"})
	add(b.estimate("sidecar", "core_share", entries), Row{Role: list, What: "processor time without a request", Day: Steady, Unit: "of a core", Budget: o.SidecarCoreShare.Value, BudgetFrom: asked,
		Mechanism: listIn + ", loop", Carried: true, PerYear: daysPerYear, Note: "state on disk is in it, sharing is not"})
	add(b.estimate("sidecar", "watch_bytes", entries).and(b.estimate("sidecar", "change_bytes", entries).times(l.ListPerS)), Row{Role: list, What: "bytes", Day: Steady, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: listIn, Carried: true, PerYear: daysPerYear})
	add(b.estimate("sidecar", "change_bytes", entries), Row{Role: list, What: "bytes", Day: Change, Unit: "bytes", BudgetFrom: noBudget, Mechanism: listIn, Carried: true, PerYear: l.ListChanges * daysPerYear})
	add(b.estimate("sidecar", "change_cpu_ms", entries), Row{Role: list, What: "processor time", Day: Change, Unit: "ms", BudgetFrom: noBudget, Mechanism: listIn, Carried: true, PerYear: l.ListChanges * daysPerYear})
	add(b.estimate("sidecar", "watch_bytes", entries).and(b.estimate("sidecar", "change_bytes", entries).times(l.ZoneChanges/60)), Row{Role: list, What: "bytes: a zone goes and comes back", Day: Worst, Unit: "bytes/s",
		Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked, Mechanism: listIn, Carried: true, PerYear: o.ZonesPerYear.Value, Note: "over one minute"})
	add(b.estimate("sidecar", "core_share", entries).and(b.estimate("sidecar", "change_cpu_ms", entries).times(l.ZoneChanges/60/1000)), Row{Role: list, What: "processor time: a zone goes and comes back", Day: Worst, Unit: "of a core",
		Budget: o.SidecarCoreShare.Value, BudgetFrom: asked, Mechanism: listIn, Carried: true, PerYear: o.ZonesPerYear.Value, Note: "over one minute"})
	add(b.estimate("sidecar", "list_bytes", entries).times(1.0/60), Row{Role: list, What: "bytes: the whole list at a return", Day: Worst, Unit: "bytes/s",
		Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked, Mechanism: listIn, Carried: true, PerYear: o.CutsPerYear.Value + (o.RestartsPerDay.Value+o.FailuresPerDay.Value)*daysPerYear/n,
		Note: "over one minute; every sidecar follows all entries, not those of the services that it calls"})

	const settings = "sidecar: settings"
	const byHand = None + ": a file and a SIGHUP on each machine (`internal/sidecar` reload)"
	add(exactFigure(l.SettingsTaken), Row{Role: settings, What: "files to write and processes to signal", Day: Steady, Unit: "a day", BudgetFrom: "in force everywhere within 7 s", Mechanism: byHand,
		PerYear: o.SettingsPerDay.Value * daysPerYear, Touches: l.PerService, Note: "nobody tells which version is in force where"})
	add(figure{}, Row{Role: settings, What: "until a change is in force everywhere", Day: Change, Unit: "s", Budget: o.SettingsWithinS.Value, BudgetFrom: asked, Mechanism: byHand, PerYear: o.SettingsPerDay.Value * daysPerYear, Touches: l.PerService,
		Note: "nothing carries it, so there is nothing to measure"})
	add(exactFigure(l.WaveTaken), Row{Role: settings, What: "files to write and processes to signal: twenty changes", Day: Worst, Unit: "in a minute", BudgetFrom: "in force everywhere within 7 s", Mechanism: byHand, PerYear: daysPerYear, Touches: l.WaveTaken, Note: "as if each day had one"})

	const sharing = "sidecar: sharing (where `peers` is configured)"
	add(b.gossip(singleSize("members", n)), Row{Role: sharing, What: "bytes sent by a member, all in one gossip", Day: Steady, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: sharingPart, Carried: true, PerYear: daysPerYear, Note: "sent alone; virtual time"})
	add(b.gossip(singleSize("members", n)).times(2), Row{Role: sharing, What: "the same, sent and received", Day: Steady, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: sharingPart, Carried: true, PerYear: daysPerYear, Note: "nothing lost: what one sends another receives"})
	add(b.gossip(singleSize("members", l.RegionSidecars)), Row{Role: sharing, What: "the same, a gossip for each region", Day: Steady, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: sharingPart, Carried: true, PerYear: daysPerYear, Note: "sent alone; virtual time"})
	add(b.gossip(singleSize("members", l.RegionSidecars)).times(2), Row{Role: sharing, What: "the same, sent and received", Day: Steady, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: sharingPart, Carried: true, PerYear: daysPerYear})
	add(b.checkedFigure("gossip-large", "bytes_mean"), Row{Role: sharing, What: "bytes sent by a member, 1,000 of them, 20 to 50 s after all know each other", Day: Worst, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: sharingPart, Carried: true, PerYear: o.CutsPerYear.Value, Note: "as it was played, no line; virtual time, one play; whether that is the tail of their start or the steady day was not measured"})
	add(figure{}, Row{Role: sharing, What: "memory of the roster", Day: Steady, Unit: "MB", BudgetFrom: noBudget, Mechanism: sharingPart, Carried: true, PerYear: daysPerYear})
	add(figure{}, Row{Role: sharing, What: "processor time", Day: Steady, Unit: "of a core", Budget: o.SidecarCoreShare.Value, BudgetFrom: asked, Mechanism: sharingPart, Carried: true, PerYear: daysPerYear})

	const disk = "sidecar: state on disk (where `state` is configured)"
	add(b.estimate("sidecar", "disk_bytes", entries).times(1.0/(1<<20)), Row{Role: disk, What: "size", Day: Steady, Unit: "MB", Budget: a.StateDiskMB.Value, BudgetFrom: assumed, Mechanism: stateOut, Carried: true, PerYear: daysPerYear})
	add(b.estimate("sidecar", "disk_written", entries), Row{Role: disk, What: "written, with nothing to carry", Day: Steady, Unit: "bytes/s", Budget: a.StateWritesPerS.Value, BudgetFrom: assumed, Mechanism: stateOut, Carried: true, PerYear: daysPerYear,
		Note: "the log's lines are in it"})

	const leader = "list service: leader (one quorum for all)"
	idle := b.estimate("writes", "leader_cores", singleSize("changes", l.ListPerS))
	add(b.estimate("watchers", "memory_kb", singleSize("watchers", n)).times(1.0/1024), Row{Role: leader, What: "memory of watchers, all at one replica", Day: Steady, Unit: "MB", Budget: a.ControlMemoryMB.Value, BudgetFrom: assumed,
		Mechanism: watchesOut, Carried: true, PerYear: daysPerYear})
	add(b.estimate("writes", "leader_mb", singleSize("changes", l.ListPerS)), Row{Role: leader, What: "memory of the process", Day: Steady, Unit: "MB", Budget: a.ControlMemoryMB.Value, BudgetFrom: assumed, Mechanism: quorum, Carried: true, PerYear: daysPerYear,
		Note: "450 entries, no watchers"})
	add(idle.and(b.slopeOf("renewals", "leader_cores").times(l.Renewals)), Row{Role: leader, What: "processor time: quorum, changes, renewals", Day: Steady, Unit: "of a core", Budget: a.ControlCores.Value, BudgetFrom: assumed, Mechanism: quorum + ", leases",
		Carried: true, PerYear: daysPerYear})
	add(exactFigure(l.Renewals), Row{Role: leader, What: "messages: renewals", Day: Steady, Unit: "calls/s", BudgetFrom: noBudget, Mechanism: "`internal/registry` leases", Carried: true, PerYear: daysPerYear})
	add(b.estimate("writes", "leader_bytes", singleSize("changes", l.ListPerS)), Row{Role: leader, What: "bytes: quorum and log", Day: Steady, Unit: "bytes/s", Budget: a.ControlBytesPerS.Value, BudgetFrom: assumed, Mechanism: quorum, Carried: true, PerYear: daysPerYear,
		Note: "read and written, files too"})
	add(b.estimate("watchers", "cpu_ms_change", singleSize("watchers", n)), Row{Role: leader, What: "processor time: told to all watchers at one replica", Day: Change, Unit: "ms", BudgetFrom: noBudget, Mechanism: watchesOut, Carried: true, PerYear: l.ListChanges * daysPerYear})
	add(b.estimate("sidecar", "change_bytes", entries).times(n), Row{Role: leader, What: "bytes: told to all watchers at one replica", Day: Change, Unit: "bytes", BudgetFrom: noBudget, Mechanism: watchesOut, Carried: true, PerYear: l.ListChanges * daysPerYear})
	add(b.estimate("writes", "leader_cores", singleSize("changes", l.ZoneChanges/60)).and(b.estimate("watchers", "cpu_ms_change", singleSize("watchers", n)).times(l.ZoneChanges/60/1000)).and(b.slopeOf("renewals", "leader_cores").times(l.Renewals)),
		Row{Role: leader, What: "processor time: a zone goes and comes back", Day: Worst, Unit: "of a core", Budget: a.ControlCores.Value, BudgetFrom: assumed, Mechanism: quorum + ", watches", Carried: true, PerYear: o.ZonesPerYear.Value,
			Note: "all watchers at the leader"})
	returning := map[string]float64{"watchers": l.RegionSidecars, "entries": n}
	add(b.estimate("return", "bytes", returning), Row{Role: leader, What: "bytes: a region's watchers back within 1 s", Day: Worst, Unit: "bytes/s", Budget: a.ControlBytesPerS.Value, BudgetFrom: assumed, Mechanism: watchesOut, Carried: true, PerYear: o.CutsPerYear.Value,
		Note: "whole lists x watchers, one replica"})
	add(b.estimate("return", "cpu_ms", returning).times(1.0/1000), Row{Role: leader, What: "processor time: a region's watchers back within 1 s", Day: Worst, Unit: "of a core", Budget: a.ControlCores.Value, BudgetFrom: assumed, Mechanism: watchesOut, Carried: true, PerYear: o.CutsPerYear.Value})
	add(b.estimate("return", "memory_mb", returning), Row{Role: leader, What: "memory: a region's watchers back within 1 s", Day: Worst, Unit: "MB", Budget: a.ControlMemoryMB.Value, BudgetFrom: assumed, Mechanism: watchesOut, Carried: true, PerYear: o.CutsPerYear.Value})
	add(b.estimate("return", "bytes", map[string]float64{"watchers": n, "entries": n}), Row{Role: leader, What: "bytes: all watchers back within 1 s, at one replica", Day: Worst, Unit: "bytes/s", Budget: a.ControlBytesPerS.Value, BudgetFrom: assumed, Mechanism: watchesOut,
		Carried: true, PerYear: 1, Note: "spread over 14 machines it is a fourteenth"})

	const follower = "list service: follower"
	add(b.estimate("writes", "follower_cores", singleSize("changes", l.ListPerS)), Row{Role: follower, What: "processor time", Day: Steady, Unit: "of a core", Budget: a.ControlCores.Value, BudgetFrom: assumed, Mechanism: quorum, Carried: true, PerYear: daysPerYear,
		Note: "without watchers; those cost what they cost the leader"})
	add(b.estimate("writes", "follower_mb", singleSize("changes", l.ListPerS)), Row{Role: follower, What: "memory of the process", Day: Steady, Unit: "MB", Budget: a.ControlMemoryMB.Value, BudgetFrom: assumed, Mechanism: quorum, Carried: true, PerYear: daysPerYear})
	add(b.slopeOf("writes", "follower_bytes"), Row{Role: follower, What: "bytes", Day: Change, Unit: "bytes", BudgetFrom: noBudget, Mechanism: quorum, Carried: true, PerYear: l.ListChanges * daysPerYear, Note: "read and written, files too"})
	add(b.estimate("writes", "follower_cores", singleSize("changes", l.ZoneChanges/60)), Row{Role: follower, What: "processor time: a zone goes and comes back", Day: Worst, Unit: "of a core", Budget: a.ControlCores.Value, BudgetFrom: assumed, Mechanism: quorum, Carried: true, PerYear: o.ZonesPerYear.Value})

	const duties = "holder of a duty, and who waits for it (where `peers.service` is configured)"
	everyone := singleSize("candidates", n)
	add(b.estimate("duty", "calls", everyone), Row{Role: duties, What: "messages of one duty that all want", Day: Steady, Unit: "calls/s", BudgetFrom: noBudget, Mechanism: "`internal/duty.Runner`, `internal/registry/terms`", Carried: true, PerYear: daysPerYear})
	add(b.estimate("duty", "bytes", everyone).times(l.Duties/n), Row{Role: duties, What: "bytes of all standing duties, a sidecar's part", Day: Steady, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked, Mechanism: "`internal/duty.Runner`", Carried: true, PerYear: daysPerYear,
		Note: "as if all wanted each"})
	add(b.estimate("duty", "core_share", everyone).times(l.Duties), Row{Role: duties, What: "processor time of the service's leader, all standing duties", Day: Steady, Unit: "of a core", Budget: a.ControlCores.Value, BudgetFrom: assumed, Mechanism: "`internal/registry/terms`", Carried: true, PerYear: daysPerYear,
		Note: "one replica in memory: takes are rare, renewals are not in the log"})

	const operatorsPort = "operators' door"
	add(b.estimate("sidecar", "stats_bytes", entries), Row{Role: operatorsPort, What: "bytes of one look at a sidecar's figures", Day: Change, Unit: "bytes", BudgetFrom: noBudget, Mechanism: "`internal/sidecar` door", Carried: true, PerYear: daysPerYear})
	add(b.estimate("sidecar", "stats_bytes", entries).times(n), Row{Role: operatorsPort, What: "bytes of one look at all of them", Day: Worst, Unit: "bytes", BudgetFrom: noBudget, Mechanism: None + ": each door is asked by itself", PerYear: o.RacksPerYear.Value + o.ZonesPerYear.Value + o.CutsPerYear.Value,
		Note: "the digest of a site (a duty) sums nothing up"})

	const regions = "regions that lose each other (one quorum for all)"
	const noRegion = None + ": the service is one quorum (`internal/registry.Node`)"
	add(b.estimate("cut", "refused_share", singleSize("watchers", l.RegionSidecars)), Row{Role: regions, What: "registrations, drains and operators' words refused on the side without a majority", Day: Worst, Unit: "of them", BudgetFrom: "each region goes on alone", Mechanism: noRegion, PerYear: o.CutsPerYear.Value, Touches: l.RegionSidecars,
		Note: "for as long as the cut lasts"})
	add(b.estimate("cut", "ended", singleSize("watchers", l.RegionSidecars)), Row{Role: regions, What: "watches that end there", Day: Worst, Unit: "watches", BudgetFrom: "each region goes on alone", Mechanism: noRegion, PerYear: o.CutsPerYear.Value, Touches: l.RegionSidecars, Note: "sidecars keep the list that they have"})
	add(b.estimate("cut", "ended_after_s", singleSize("watchers", l.RegionSidecars)), Row{Role: regions, What: "until they end", Day: Worst, Unit: "s", BudgetFrom: noBudget, Mechanism: noRegion, PerYear: o.CutsPerYear.Value, Touches: l.RegionSidecars})
	add(exactFigure(l.CutList+l.CutSettings+l.ZoneChanges), Row{Role: regions, What: "changes to catch up after a heal, a zone among them", Day: Worst, Unit: "changes", BudgetFrom: "in force everywhere within 7 s of the heal", Mechanism: noRegion, PerYear: o.CutsPerYear.Value, Touches: l.RegionSidecars, Note: "none was taken in on the small side"})
	return rows
}

// afterRows returns the rows that documents and regions change. Each region then has a quorum of its own, with one
// machine in each zone.
func (b *builder) afterRows() (rows []Row) {
	o, a, l := b.fleet.Operators, b.fleet.Assumed, b.load
	add := func(f figure, r Row) { rows = append(rows, f.inRow(r)) }
	n := o.Upstreams.Value
	entries := singleSize("entries", n)
	const (
		asked     = "operators"
		assumed   = "assumed"
		documents = "`internal/registry/list` documents, `internal/registry` watches, `internal/settings`"
		applying  = "`internal/sidecar` reload, `internal/registry/client.Watcher`"
		acks      = "`internal/registry` acks"
		following = "`internal/registry` follower, `internal/follow`, `internal/registry/list` pieces"
	)

	const settings = "sidecar: settings"
	for _, x := range []struct {
		what     string
		sidecars float64
	}{{"until a change is in force at all sidecars of a mean service", l.PerService}, {"until a change is in force at all of the largest", a.ServiceUpstreamsMost.Value}} {
		add(b.estimate("settings", "in_force_most_s", singleSize("sidecars", x.sidecars)), Row{Role: settings, What: x.what, Day: Change, Unit: "s", Budget: o.SettingsWithinS.Value, BudgetFrom: asked, Mechanism: documents + "; " + applying,
			Carried: true, PerYear: o.SettingsPerDay.Value * daysPerYear, Touches: l.PerService, Note: "the longest of ten; heard back from all; one region, one replica, this machine"})
	}
	mean := singleSize("sidecars", l.PerService)
	add(b.estimate("settings", "steady_bytes", mean).and(b.estimate("sidecar", "change_bytes", entries).times(l.ListPerS)), Row{Role: settings, What: "bytes of list, settings and acknowledgements", Day: Steady, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: applying, Carried: true, PerYear: daysPerYear})
	add(b.estimate("settings", "change_bytes", mean), Row{Role: settings, What: "bytes of a change of settings, acknowledged", Day: Change, Unit: "bytes", BudgetFrom: noBudget, Mechanism: applying, Carried: true, PerYear: o.SettingsPerDay.Value * daysPerYear, Touches: l.PerService})
	add(b.estimate("settings", "change_cpu_ms", mean), Row{Role: settings, What: "processor time of a change of settings", Day: Change, Unit: "ms", BudgetFrom: noBudget, Mechanism: applying, Carried: true, PerYear: o.SettingsPerDay.Value * daysPerYear, Touches: l.PerService})
	add(b.estimate("settings", "steady_bytes", mean).and(b.estimate("settings", "change_bytes", mean).times(l.WavePerS)), Row{Role: settings, What: "bytes: twenty changes in a minute, all of its own service", Day: Worst, Unit: "bytes/s", Budget: o.SidecarBytesPerS.Value, BudgetFrom: asked,
		Mechanism: applying, Carried: true, PerYear: daysPerYear, Note: "over one minute"})
	add(b.estimate("sidecar", "core_share", entries).and(b.estimate("settings", "change_cpu_ms", mean).times(l.WavePerS/1000)), Row{Role: settings, What: "processor time: twenty changes in a minute, all of its own service", Day: Worst, Unit: "of a core", Budget: o.SidecarCoreShare.Value, BudgetFrom: asked,
		Mechanism: applying, Carried: true, PerYear: daysPerYear, Note: "over one minute"})

	const leader = "list service: leader of one region"
	add(exactFigure(l.RegionSidecars/a.AckEveryS.Value), Row{Role: leader, What: "messages: acknowledgements", Day: Steady, Unit: "calls/s", BudgetFrom: noBudget, Mechanism: acks, Carried: true, PerYear: daysPerYear})
	add(b.estimate("documents", "memory_mb", singleSize("documents", o.Services.Value)), Row{Role: leader, What: "memory of the settings of all services", Day: Steady, Unit: "MB", Budget: a.ControlMemoryMB.Value, BudgetFrom: assumed, Mechanism: documents, Carried: true, PerYear: daysPerYear,
		Note: "its own region's and those that it follows; followers the same"})
	add(b.estimate("writes", "leader_cores", singleSize("changes", l.ListPerS/o.Regions.Value)).and(b.slopeOf("renewals", "leader_cores").times(l.RegionRenewals)), Row{Role: leader, What: "processor time: quorum, changes, renewals", Day: Steady, Unit: "of a core", Budget: a.ControlCores.Value, BudgetFrom: assumed,
		Mechanism: "`internal/registry.Node`, leases", Carried: true, PerYear: daysPerYear, Note: "acknowledgements are not in it"})
	add(b.estimate("documents", "put_cpu_ms", singleSize("documents", o.Services.Value)), Row{Role: leader, What: "processor time of a put, alone", Day: Change, Unit: "ms", BudgetFrom: noBudget, Mechanism: documents, Carried: true, PerYear: o.SettingsPerDay.Value * daysPerYear, Touches: 1})
	add(b.estimate("settings", "change_bytes", mean).times(a.ServiceUpstreamsMost.Value), Row{Role: leader, What: "bytes of a change, told to the largest service's sidecars at one replica", Day: Change, Unit: "bytes", BudgetFrom: noBudget, Mechanism: documents, Carried: true, PerYear: o.SettingsPerDay.Value * daysPerYear, Touches: 1})
	returning := map[string]float64{"watchers": l.RegionSidecars, "entries": n}
	add(b.estimate("return", "bytes", returning).and(exactFigure(l.RegionSidecars*a.SettingsBytes.Value)), Row{Role: leader, What: "bytes: a region's watchers back within 1 s, each with its settings", Day: Worst, Unit: "bytes/s", Budget: a.ControlBytesPerS.Value, BudgetFrom: assumed,
		Mechanism: documents, Carried: true, PerYear: o.CutsPerYear.Value, Note: "one replica; who holds the settings already is not told them"})

	const singleQuorum = "list service: one quorum, all watching and registering at once (the scale run)"
	for _, x := range []struct {
		series, what, unit, from string
		budget                   float64
	}{{"leading_replica_cpu", "processor time of the leader", "of a core", assumed, a.ControlCores.Value}, {"leading_replica_mb", "memory of the leader", "MB", assumed, a.ControlMemoryMB.Value},
		{"replica_cpu", "processor time of a follower", "of a core", assumed, a.ControlCores.Value}, {"replica_mb", "memory of a follower", "MB", assumed, a.ControlMemoryMB.Value},
		{"real_bytes", "bytes of a real sidecar without clients", "bytes/s", asked, o.SidecarBytesPerS.Value}, {"hollow_bytes", "bytes of a hollow sidecar", "bytes/s", asked, o.SidecarBytesPerS.Value},
		{"real_mb", "memory of a real sidecar without clients", "MB", asked, o.SidecarMemoryMB.Value}} {
		add(b.steady(x.series), Row{Role: singleQuorum, What: x.what, Day: Steady, Unit: x.unit, Budget: x.budget, BudgetFrom: x.from, Mechanism: "`internal/registry.Node`, watches, leases, acks; `internal/sidecar`", Carried: true, PerYear: daysPerYear,
			Note: "settings, acknowledgements, renewals and the quorum in it"})
	}

	const regions = "regions that lose each other (a quorum for each)"
	const ownQuorum = "`internal/registry.Node` of each region"
	add(b.estimate("apart", "refused_share", singleSize("watchers", l.RegionSidecars)), Row{Role: regions, What: "registrations, drains and operators' words of its own refused while a region is cut off", Day: Worst, Unit: "of them", BudgetFrom: "each region goes on alone", Mechanism: ownQuorum, Carried: true, PerYear: o.CutsPerYear.Value, Touches: l.RegionSidecars})
	add(b.estimate("apart", "ended", singleSize("watchers", l.RegionSidecars)), Row{Role: regions, What: "watches that end in a region that is cut off", Day: Worst, Unit: "watches", BudgetFrom: "each region goes on alone", Mechanism: ownQuorum, Carried: true, PerYear: o.CutsPerYear.Value, Touches: l.RegionSidecars})
	region := singleSize("entries", l.RegionSidecars)
	add(b.estimate("heal", "heal_s", region), Row{Role: regions, What: "until another region's changes are taken in after a heal, all of its entries among them", Day: Worst, Unit: "s", Budget: o.SettingsWithinS.Value, BudgetFrom: asked, Mechanism: following, Carried: true, PerYear: o.CutsPerYear.Value, Touches: l.RegionSidecars,
		Note: "the cut was 11 s: the whole list is asked for after 10 s"})
	add(b.estimate("heal", "heal_bytes", region).times(o.Regions.Value-1), Row{Role: regions, What: "bytes that a region takes in after a heal, from all the others", Day: Worst, Unit: "bytes", BudgetFrom: noBudget, Mechanism: following, Carried: true, PerYear: o.CutsPerYear.Value, Touches: 1,
		Note: "one document of each: the others' come besides, 4 KB a service"})
	add(b.estimate("heal", "change_bytes", region), Row{Role: regions, What: "bytes between two regions", Day: Change, Unit: "bytes", BudgetFrom: noBudget, Mechanism: following, Carried: true, PerYear: l.ListChanges * daysPerYear, Touches: 1, Note: "of an entry"})
	add(b.estimate("heal", "steady_bytes", region).times(o.Regions.Value-1), Row{Role: regions, What: "bytes of following the others", Day: Steady, Unit: "bytes/s", Budget: a.ControlBytesPerS.Value, BudgetFrom: assumed, Mechanism: following, Carried: true, PerYear: daysPerYear, Touches: 1})
	add(exactFigure(l.ZoneOfRegion), Row{Role: regions, What: "leases of a region that are silent when one of its zones goes, beside those above which none lapses", Day: Worst, Unit: "of leases", Budget: a.PreserveShare.Value, BudgetFrom: "`preserve`",
		Mechanism: "`internal/registry` leases", Carried: true, PerYear: o.ZonesPerYear.Value, Touches: l.RegionSidecars, Note: "over it the dead zone's entries stay until an operator overrules; with one quorum for all it was a fourteenth. `preserve` is to be set above it"})
	return rows
}

// gossip returns what a member sends, from the measure of larger fleets where there is one.
func (b *builder) gossip(sizes map[string]float64) figure {
	if f := b.estimate("gossip-large", "bytes_mean", sizes); f.Interval != nil {
		return f
	}
	return b.estimate("gossip", "bytes_mean", sizes)
}

// steady returns what the scale run measured on its steady day, at the fleet's size.
func (b *builder) steady(series string) figure {
	return b.estimate("scale-steady", series, singleSize("sidecars", b.fleet.Operators.Upstreams.Value))
}
