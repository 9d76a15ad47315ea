// Command 3 is a case of the review: a request without a body that crashes the workers which run it is passed on as often as
// it comes.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/turmericworks/turmericworks/review/stage"
)

const (
	settle, day = 4 * time.Second, 80 * time.Second
	// entryEvery is the time between two lot entries, the usual traffic.
	entryEvery = 40 * time.Millisecond
	// repeatEvery is the time after which the client of the request that crashes workers sends it again.
	repeatEvery = 3 * time.Second
	deadline    = 600 * time.Millisecond
	// crashPath is that of the request that crashes workers.
	crashPath = "/check/lot-13"
)

func route(name, prefix, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": stage.Host, "pathPrefix": prefix, "type": kind, "timeoutMs": deadline.Milliseconds(), "targetLatencyMs": 100,
		"priority": 2, "service": "rack-app", "maxAttempts": attempts, "public": true, "sticky": false, "resumable": false,
	}
}

func config() map[string]any {
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-1", "/entry/", "non_idempotent", 1), route("r-2", "/check/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "rack-app", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   stage.Limits(),
	}
}

// run plays the day.
func run(folder string, trouble bool, r *stage.Record) (int, error) {
	store := stage.NewStore()
	if err := store.Put("keyed.op", "config", config()); err != nil {
		return stage.CouldNotRun, err
	}
	address, err := stage.Serve(store)
	if err != nil {
		return stage.CouldNotRun, err
	}
	seen := &stage.CrashLog{Harmless: !trouble}
	crash := func(q *http.Request) bool { return q.URL.Path == crashPath && seen.Arrive() }
	zones := []string{"rausu-a", "rausu-b", "shibetsu"}
	for _, zone := range zones {
		w := &stage.Worker{
			Service: "rack-app", Zone: zone, Slots: 6, Queue: 24, Work: 15 * time.Millisecond, Crashes: crash, RestartAfter: 4 * time.Second,
			HeartbeatEvery: 1200 * time.Millisecond, Expiry: 3600 * time.Millisecond, Store: store,
			OnRecord: func(x stage.EngineRecord) { r.Line("%s %s", x.Worker, x.What) },
		}
		if err := w.Start(); err != nil {
			return stage.CouldNotRun, err
		}
	}
	instances, err := stage.Fleet(folder, address, zones...)
	if err != nil {
		return stage.CouldNotRun, err
	}
	time.Sleep(settle)
	o := traffic(instances, r)
	if o.Served == 0 {
		return stage.CouldNotRun, fmt.Errorf("no request was served")
	}
	r.Line("lot entries that were served: %d, refused: %d, failed after they had been sent to a worker: %d", o.Served, o.Refused, o.Failed)
	return seen.Judge(r), nil
}

// traffic sends the usual traffic, and one request again and again.
func traffic(instances []*stage.Instance, r *stage.Record) *stage.Outcomes {
	o := &stage.Outcomes{}
	var sending sync.WaitGroup
	began := time.Now()
	sending.Go(func() {
		for n := 0; time.Since(began) < day; n++ {
			instances[n%len(instances)].Send(stage.Request{
				Method: http.MethodGet, Host: stage.Host, Path: crashPath, ID: fmt.Sprintf("c%015x", n+1), Deadline: deadline,
			}, r)
			time.Sleep(repeatEvery)
		}
	})
	for n := 0; time.Since(began) < day; n++ {
		i := instances[n%len(instances)]
		id := fmt.Sprintf("%016x", n+1)
		sending.Go(func() {
			status, _ := i.Send(stage.Request{
				Method: http.MethodPost, Host: stage.Host, Path: "/entry/x", ID: id, Body: strings.NewReader("lot " + id), Deadline: deadline,
			}, r)
			o.Add(status)
		})
		time.Sleep(entryEvery)
	}
	sending.Wait()
	return o
}

func main() { stage.Main(run) }
