// Command 3 is a case of the review: a request that crashes the workers which run it, once they have sent its first event, is
// passed on as often as it comes, and the streams of others at these workers are cut off.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericworks/turmericworks/review/stage"
)

const (
	settle, day = 4 * time.Second, 80 * time.Second
	// streamEvery is the time between two streams of the usual traffic.
	streamEvery = 50 * time.Millisecond
	// repeatEvery is the time after which the client of the request that crashes workers sends it again.
	repeatEvery = 4 * time.Second
	deadline    = 10 * time.Second
	// contact is the contactMs of the sheet.
	contact = 3 * time.Second
	// allowed is the number of retries that may reach workers later than contact after the third crash.
	allowed = 3
	// crashPath is that of the request that crashes workers.
	crashPath = "/shift/rack-13"
)

// size is the sheet's of the Rausu Drying Racks.
var size = stage.EngineSize{
	Model: "base", ModelMB: 34300, WeightsMB: 36000, AdapterMB: 40, AdapterSlots: 18, Slots: 128, MemoryTokens: 152262,
	ModelLoad: 2 * time.Second, AdapterLoad: 250 * time.Millisecond, EventGap: 20 * time.Millisecond, Events: 35,
	RestartAfter: 4 * time.Second, HeartbeatEvery: 1200 * time.Millisecond, Expiry: 3600 * time.Millisecond,
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "racks.example", "pathPrefix": "/shift/", "type": "streaming", "timeoutMs": deadline.Milliseconds(),
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
		"limits": stage.Limits(),
	}
}

// crashes are the times at which the request reached workers, and at which it crashed them.
type crashes struct {
	mu               sync.Mutex
	arrived, crashed []time.Time
}

// late returns how many retries reached a worker later than contact after the third crash.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashed) < 3 {
		return 0
	}
	n := 0
	for _, at := range c.arrived {
		if at.Sub(c.crashed[2]) > contact {
			n++
		}
	}
	return n
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
	var seen crashes
	crash := func(q *http.Request) bool {
		if q.URL.Path != crashPath {
			return false
		}
		seen.mu.Lock()
		defer seen.mu.Unlock()
		seen.arrived = append(seen.arrived, time.Now())
		if trouble {
			seen.crashed = append(seen.crashed, time.Now())
		}
		return trouble
	}
	zones := []string{"rausu-a", "rausu-b", "shibetsu"}
	for _, zone := range zones {
		e := &stage.Engine{Size: size, Service: "kombu-llm", Zone: zone, Store: store, Crashes: crash, OnRecord: func(x stage.EngineRecord) {
			r.Line("%s %s", x.Worker, x.What)
		}}
		if err := e.Start(); err != nil {
			return stage.CouldNotRun, err
		}
	}
	instances, err := stage.Fleet(folder, address, zones...)
	if err != nil {
		return stage.CouldNotRun, err
	}
	time.Sleep(settle)
	served, refused, cut := traffic(instances, r)
	if served == 0 {
		return stage.CouldNotRun, fmt.Errorf("no request was served")
	}
	late := seen.late()
	r.Line("of the other streams %d were served whole, %d were refused and %d were cut off; the request reached workers %d times and crashed %d; retries later than %v after the third crash: %d",
		served, refused, cut, len(seen.arrived), len(seen.crashed), contact, late)
	if late > allowed {
		r.Line("BUDGET broken")
		return stage.RuleBroken, nil
	}
	return stage.RuleHeld, nil
}

func stream(path, id, body string) stage.Request {
	return stage.Request{
		Method: http.MethodPost, Host: "racks.example", Path: path, ID: id, Body: strings.NewReader(body), Deadline: deadline,
		Header: map[string]string{"X-Model": size.Model, "X-Token-Count": "646,70", "X-Prompt-Prefix": "5c1e07a2:93," + id[8:] + ":553"},
	}
}

// traffic sends the usual streams, and one request again and again, and returns how many of the usual streams were served whole,
// refused and cut off.
func traffic(instances []*stage.Instance, r *stage.Record) (served, refused, cut int64) {
	var ok, notRun, broken atomic.Int64
	var sending sync.WaitGroup
	began := time.Now()
	sending.Go(func() {
		for n := 0; time.Since(began) < day; n++ {
			instances[n%len(instances)].Send(stream(crashPath, fmt.Sprintf("c%015x", n+1), "the same sensor log"), r)
			time.Sleep(repeatEvery)
		}
	})
	for n := 0; time.Since(began) < day; n++ {
		i := instances[n%len(instances)]
		id := fmt.Sprintf("%016x", n+1)
		sending.Go(func() {
			switch status, _ := i.Send(stream("/shift/x", id, "sensor log "+id), r); status {
			case http.StatusOK:
				ok.Add(1)
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				notRun.Add(1)
			default:
				broken.Add(1)
			}
		})
		time.Sleep(streamEvery)
	}
	sending.Wait()
	return ok.Load(), notRun.Load(), broken.Load()
}

func main() { stage.Main(run) }
