package rig

import (
	"crypto/rand"
	"encoding/hex"
)

// M is a JSON object.
type M = map[string]any

// MidlandsSettings is the settings object of a small deployment of the site midlands-fares: each figure lies within the site file's ranges.
func MidlandsSettings() M {
	class := func(name, semantics string, aim, deadline, importance float64) M {
		return M{"Name": name, "Semantics": semantics, "KeyScope": "all", "AimMs": aim, "DeadlineMs": deadline, "DedupWindowMs": 5000.0,
			"Importance": importance, "LateShare": 0.0, "Stream": false}
	}
	tenant := func(name string, share float64) M {
		return M{"Name": name, "Fraction": share, "QuotaRps": 200 * share}
	}
	return M{
		"Balancers": 2, "Me": 0, "Tier": 0, "Tiers": []string{"fare-servers"}, "Family": "mesh", "FamilyInfo": M{},
		"Classes": []M{class("card-check", "retryable", 400, 1500, 3), class("journey-lookup", "retryable", 400, 1000, 3),
			class("fare-charge", "fragile", 600, 2000, 5)},
		"ClientHabits": M{"MarksRetry": true}, "Discovery": "push", "FailureDomains": []string{"nottingham", "derby", "leicester"},
		"HostTypes": []string{"standard-3core"},
		"Limits": M{"Cancelling": true, "ConnIdleMs": 5000.0, "ConnectTimeoutMs": 200.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 50000, "MaxOpen": 40000,
			"MaxRetryAfterMs": 2000.0, "Peers": false, "Probes": true, "RetryAfter": true, "SecondCopies": true, "SendCap": 3, "StreamsPerConn": 1},
		"OverShareWorth": 0.2,
		"Prices": M{"Connection": 0.0, "CrossZone": 0.022, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.15, "Moves": 0.0, "Origin": 0.0,
			"Peer": 0.0, "Probe": 0.0072, "Waste": 0.082},
		"ResultMix": M{"Whole": 0.45, "WorstClass": 0.3, "WorstTenant": 0.1, "WorstWindow": 0.15},
		"Rules": M{"ColdFrom": 0.25, "DrainGraceMs": 1000.0, "FallMs": 3000.0, "FallMultiple": 3.0, "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0,
			"WarmUpMs": 12000.0},
		"Stats": M{"Names": []string{}, "Via": "none"},
		"Tenants": []M{tenant("trent-buses", 0.18), tenant("city-trams", 0.18), tenant("derby-road", 0.17), tenant("soar-valley", 0.14),
			tenant("peak-link", 0.12), tenant("erewash-coaches", 0.07), tenant("charnwood-bus", 0.06), tenant("vale-rider", 0.04),
			tenant("wolds-community", 0.04)},
		"TickMs": 5.0, "Weights": "rough", "WorthBy": "request", "Zone": "nottingham",
	}
}

// ManilaSettings is the settings object of a small deployment of the site manila-orders: each figure lies within the site file's ranges.
func ManilaSettings() M {
	class := func(name, semantics string, deadline, importance, late float64) M {
		return M{"Name": name, "Semantics": semantics, "KeyScope": "all", "AimMs": 750.0, "DeadlineMs": deadline, "DedupWindowMs": 5000.0,
			"Importance": importance, "LateShare": late, "Stream": false}
	}
	tenant := func(name string, share float64) M {
		return M{"Name": name, "Fraction": share, "QuotaRps": 200 * share}
	}
	return M{
		"Balancers": 2, "Me": 0, "Tier": 0, "Tiers": []string{"order-api"}, "Family": "mesh", "FamilyInfo": M{"WarmKeys": true},
		"Classes":      []M{class("plan-read", "retryable", 4000, 2, 0.25), class("charge-ship", "fragile", 3000, 3, 0.5)},
		"ClientHabits": M{"MarksRetry": false}, "Discovery": "push", "FailureDomains": []string{"makati", "cebu", "davao", "iloilo"},
		"HostTypes": []string{"std-4", "small-3"},
		"Limits": M{"Cancelling": true, "ConnIdleMs": 60000.0, "ConnectTimeoutMs": 200.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 80000, "MaxOpen": 40000,
			"MaxRetryAfterMs": 2000.0, "Peers": false, "Probes": true, "RetryAfter": false, "SecondCopies": false, "SendCap": 6, "StreamsPerConn": 1},
		"OverShareWorth": 0.05,
		"Prices": M{"Connection": 0.0, "CrossZone": 0.1, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.03, "Moves": 0.0, "Origin": 0.0,
			"Peer": 0.0, "Probe": 0.002, "Waste": 0.2},
		"ResultMix": M{"Whole": 0.55, "WorstClass": 0.05, "WorstTenant": 0.25, "WorstWindow": 0.15},
		"Rules": M{"ColdFrom": 0.3, "DrainGraceMs": 3000.0, "FallMs": 1000.0, "FallMultiple": 4.0, "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0,
			"WarmUpMs": 8800.0},
		"Stats":   M{"Names": []string{"concurrent", "depth", "mean_ms", "load_share"}, "Via": "probe"},
		"Tenants": []M{tenant("bukid-beans", 0.43), tenant("kapeng-lipa", 0.28), tenant("sagada-roast", 0.17), tenant("mindanao-brew", 0.12)},
		"TickMs":  5.0, "Weights": "rough", "WorthBy": "request", "Zone": "makati",
	}
}

// Limits is a sidecar's limits.
func Limits(memoryMB, sockets int) M {
	return M{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
}

// Config is a sidecar's configuration, but for listen and limits.
func Config(discovery string, known any, settings M) M {
	return M{"name": "n1", "discovery": discovery, "seed": ID(), "known": known, "settings": settings}
}

// ID returns 16 random hex digits.
func ID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
