// Command case10 shows what instances do with a configuration in which a whole number is written with a fraction of zero.
package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/turmericworks/turmericworks/review/scene"
)

const (
	instances = 2
	// revokeAt is when the second configuration is written, and revokeBound the time after which a key that it takes away must
	// not work any more.
	revokeAt, revokeBound = 3 * time.Second, 5 * time.Second
	total                 = 15 * time.Second
	interval              = 50 * time.Millisecond
	otherKey              = "q2m58kd0c7vtz1hs4xye"
)

func main() { scene.Main(play) }

// config is the operator's configuration with the given keys.
func config(version int, idle any, keys ...string) map[string]any {
	c := scene.Config([]string{scene.Service}, scene.Route("r-lots", "/lots/", scene.Service, "non_idempotent"))
	c["version"] = version
	c["tenants"] = []any{map[string]any{"name": scene.Tenant, "apiKeys": keys, "ratePerS": 0, "burst": 0}}
	c["limits"].(map[string]any)["idleTimeoutMs"] = idle
	return c
}

// play returns the exit status and the result.
func play(record *scene.Record, trouble bool) (int, string) {
	f, err := scene.NewFleet(record, config(3, 15000, scene.Key, otherKey), []string{scene.Service, scene.Service}, instances)
	if err != nil {
		return scene.NotRun, err.Error()
	}
	defer f.Close()
	idle := json.Number("15000")
	if trouble {
		idle = "15000.0"
	}
	revoked := make(chan time.Time, 1)
	time.AfterFunc(revokeAt, func() {
		if at, err := f.Store.Put(scene.OperatorTopic, "config", config(7, idle, otherKey)); err == nil {
			record.LineAt(at, "the store has accepted configuration 7, which takes key %s away; idleTimeoutMs is %s", scene.Key, idle)
			revoked <- at
		}
	})
	served := 0
	f.Send(total, interval, scene.Lot, func(_ scene.Request, a scene.Answer) {
		if a.Status == 200 {
			served++
		}
	})
	f.RecordRuns()
	bound, late := (<-revoked).Add(revokeBound), 0
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			// A request is run within its deadline, so that it was sent later than the bound.
			if r.At.After(bound.Add(time.Second)) {
				late++
			}
		}
	}
	result := fmt.Sprintf("CONFIG: %d requests run that were sent with a key later than revokeMs after it was taken away; %d requests served", late, served)
	switch {
	case late > 0:
		return scene.Broken, result
	case served == 0:
		return scene.NotRun, result
	}
	return scene.Held, result
}
