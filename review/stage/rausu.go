package stage

import "time"

// RausuEngine returns the sheet's engine of the Rausu Drying Racks. Its streams have 35 events, 20 ms apart.
func RausuEngine() EngineSize {
	return EngineSize{
		Model: "base", ModelMB: 34300, WeightsMB: 35700, AdapterMB: 40, AdapterSlots: 18, Slots: 128, MemoryTokens: 152262,
		ModelLoad: 2 * time.Second, AdapterLoad: 250 * time.Millisecond, EventGap: 20 * time.Millisecond, Events: 35,
		RestartAfter: 4 * time.Second, HeartbeatEvery: 1200 * time.Millisecond, Expiry: 3600 * time.Millisecond,
	}
}

// Host is that of all routes.
const Host = "racks.example"

// StreamConfig returns a configuration with a route for streams, under the path /shift/, to an engine.
func StreamConfig(size EngineSize, deadline time.Duration) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": Host, "pathPrefix": "/shift/", "type": "streaming", "timeoutMs": deadline.Milliseconds(),
			"targetLatencyMs": 800, "priority": 0, "service": "kombu-llm", "maxAttempts": 1, "public": true, "sticky": true,
			"resumable": false, "targetGapMs": 250,
		}},
		"services": []any{map[string]any{
			"name": "kombu-llm", "healthPath": "/healthz", "maxConns": 610, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": size.Slots, "kvCapacityTokens": size.MemoryTokens, "kvTokenBytes": 131072, "linkMbps": 130000.0,
				"models": []any{map[string]any{
					"name": size.Model, "weightsMb": size.ModelMB, "loadS": size.ModelLoad.Seconds(), "adapters": 3000, "adapterSizeMb": size.AdapterMB,
				}},
				"weightsMb": size.WeightsMB, "adapterSlots": size.AdapterSlots, "loadsPerS": 3.5,
			},
		}},
		"limits": Limits(),
	}
}
