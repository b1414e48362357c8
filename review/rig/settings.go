package rig

// BogotaZones are the zones of planner-bogota.
var BogotaZones = []string{"bog-norte", "bog-sur", "bog-occidente", "bog-centro"}

// BogotaSettings returns settings like those of planner-bogota at its first size, less zone and number of the relay.
// Close-range days may give a class another effect than the site does: class replan gets the one that is given here.
func BogotaSettings(effect, group string, windowMillis int) map[string]any {
	class := func(name string, aim, limit, gain int) map[string]any {
		return map[string]any{"name": name, "promised-time-ms": aim, "hard-limit-ms": limit, "gain": gain,
			"effect": "idempotent", "group": "all", "repeat-window-ms": windowMillis, "stream": true, "late-gain": 0}
	}
	replan := class("replan", 300, 1200, 1)
	replan["effect"] = effect
	replan["group"] = group
	return map[string]any{
		"family": "conn", "discovery": "automatic", "weights": "live", "gain-per": "request", "tick-ms": 5,
		"stage": 0, "tiers": []string{"planner-fleet"}, "host-types": []string{"node-grande", "node-chico"},
		"clients":           map[string]any{"marks-retry": true},
		"stats":             map[string]any{"how": "probe", "fields": []string{"x0", "rps", "waiting"}},
		"beyond-share-gain": 0.2,
		"categories": []any{class("arrivals", 500, 2000, 1), class("active-trip", 300, 1200, 3), replan,
			class("screens", 500, 3000, 1)},
		"parties": []any{
			map[string]any{"name": "muevete", "portion": 0.82, "allowance-per-s": 5},
			map[string]any{"name": "paradero", "portion": 0.18, "allowance-per-s": 1},
		},
		"family-info": map[string]any{"groups": true, "mode": "proxy", "tells-load": true,
			"message-aim-ms": []int{250, 250, 150, 60}, "tenant-quota-connections": []int{260, 60}},
		"fees": map[string]any{"cross-zone": 0.055, "probe": 0.002, "moves": 0.03, "waste": 0.047, "late-fail": 0.05,
			"peer": 0.014},
		"contract": map[string]any{"drain-grace-ms": 500, "cold-from": 0.13, "cold-ms": 24000, "tip-multiple": 3,
			"fall-ms": 2000, "ask-within-ms": 10000, "answer-slack-ms": 16},
		"limits": map[string]any{"probes": true, "peers": true, "may-cancel": true, "parallel-tries": false,
			"retry-after": true, "max-retry-after-ms": 1500, "most-setup-tries": 6, "connect-timeout-ms": 150,
			"most-held": 1000000, "max-streams": 1, "conn-idle-ms": 5000},
	}
}

// TunisSettings returns settings like those of tunis-head-office at its first size, for one relay of two.
func TunisSettings(me int) map[string]any {
	class := func(name string, aim, limit, gain int) map[string]any {
		return map[string]any{"name": name, "promised-time-ms": aim, "hard-limit-ms": limit, "gain": gain,
			"effect": "idempotent", "group": "all", "repeat-window-ms": 5000, "stream": true, "late-gain": 0}
	}
	party := func(name string, portion, rate float64) map[string]any {
		return map[string]any{"name": name, "portion": portion, "allowance-per-s": rate}
	}
	return map[string]any{
		"family": "conn", "discovery": "subscribe", "weights": "none", "gain-per": "request", "tick-ms": 4,
		"zone": 0, "me": me, "replicas-of-me": 2, "localities": []string{"lac-hall"},
		"stage": 0, "tiers": []string{"branch-link-servers"}, "host-types": []string{"std-2c", "slow-2c"},
		"clients":           map[string]any{"marks-retry": false},
		"stats":             map[string]any{"how": "probe", "fields": []string{"cpu", "rps", "x0"}},
		"beyond-share-gain": 0.2,
		"categories": []any{class("status-feed", 300, 1800, 1), class("statement-pull", 800, 3200, 3),
			class("balance-watch", 500, 2000, 3), class("limit-update", 800, 3200, 5)},
		"parties": []any{party("sahel-agences", 0.31, 1), party("cap-bon-finance", 0.28, 1),
			party("nord-ouest-transfert", 0.19, 1), party("sfax-comptoirs", 0.22, 0)},
		"family-info": map[string]any{"groups": false, "mode": "proxy", "tells-load": true,
			"message-aim-ms": []int{100, 50, 150, 60}, "tenant-quota-connections": []int{52, 47, 32, 38}},
		"fees": map[string]any{"cross-zone": 0, "probe": 0.002, "moves": 0.01, "waste": 0.028, "late-fail": 0.03},
		"contract": map[string]any{"drain-grace-ms": 500, "cold-from": 0.16, "cold-ms": 24000, "tip-multiple": 3,
			"fall-ms": 3000, "ask-within-ms": 10000, "answer-slack-ms": 16},
		"limits": map[string]any{"probes": true, "peers": false, "may-cancel": true, "parallel-tries": false,
			"retry-after": true, "max-retry-after-ms": 1500, "most-setup-tries": 3, "connect-timeout-ms": 250,
			"most-held": 1000000, "max-streams": 1048576, "conn-idle-ms": 5000},
	}
}
