package scene

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Names of the small deployment that the scripts use.
const (
	Host    = "ficu95.example"
	Key     = "i9n73hh2b9wu3fexd9dn"
	Tenant  = "hule930"
	Service = "rack-app"
	Zone    = "rausu-a"
)

// DrainBound is the time after which a worker that drains gets no new request.
const DrainBound = 2 * time.Second

const (
	storeHost   = "127.0.0.2"
	workTime    = 15 * time.Millisecond
	lotDeadline = 600 * time.Millisecond
)

// Route is a route of the service.
func Route(name, prefix, service, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "pathPrefix": prefix, "type": kind, "timeoutMs": lotDeadline.Milliseconds(), "targetLatencyMs": 100,
		"priority": 2, "service": service, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

// Config is the operator's configuration with the given routes, to plain services.
func Config(services []string, routes ...map[string]any) map[string]any {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": 3, "routes": routes, "services": list,
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}, "ratePerS": 0, "burst": 0}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// Fleet is a store, workers and instances.
type Fleet struct {
	Store    *Store
	Workers  []*Worker
	Gateways []*Gateway
	Clients  *Clients
	Record   *Record

	dir string
}

// NewFleet starts a store with a configuration, workers of the given services and instances, and waits until these are ready.
// Close ends them.
func NewFleet(record *Record, config map[string]any, services []string, instances int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, Record: record, Clients: NewClients(record.Start())}
	if err := f.start(config, services, instances); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(config map[string]any, services []string, instances int) error {
	var err error
	if f.Store, err = NewStore(storeHost); err != nil {
		return err
	}
	if _, err := f.Store.Put(OperatorTopic, "config", config); err != nil {
		return err
	}
	for i, service := range services {
		w, err := NewWorker(f.Store, fmt.Sprintf("127.0.1.%d", i+1), fmt.Sprintf("i-7f3a91c%d", i), service, Zone, workTime)
		if err != nil {
			return err
		}
		f.Workers = append(f.Workers, w)
	}
	for i := range instances {
		g, err := StartGateway(f.dir, fmt.Sprintf("127.0.2.%d", i+1), fmt.Sprintf("frontend-%s-%d", Zone, i+1), Zone, f.Store.Address)
		if err != nil {
			return err
		}
		f.Gateways = append(f.Gateways, g)
	}
	for _, g := range f.Gateways {
		if err := g.AwaitReady(); err != nil {
			return err
		}
	}
	// All workers are in the registry that the instances have read.
	time.Sleep(HeartbeatInterval)
	return nil
}

// Close ends the instances and removes their files.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, g := range f.Gateways {
		wg.Go(g.Stop)
	}
	wg.Wait()
	_ = os.RemoveAll(f.dir)
}

// Lot is a request that may run at most once.
func Lot(n int) Request {
	return Request{Method: "POST", Host: Host, Path: fmt.Sprintf("/lots/%d", n), Key: Key, Body: fmt.Sprintf("lot %d", n), Deadline: lotDeadline}
}

// Send sends requests to the instances in turn, one in each interval, and records them with their answers. Answered is called
// for each.
func (f *Fleet) Send(total, interval time.Duration, request func(n int) Request, answered func(q Request, a Answer)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n, start := 1, time.Now(); time.Since(start) < total; n++ {
		wg.Go(func() {
			g, q := f.Gateways[n%len(f.Gateways)], request(n)
			a := f.Clients.Send(g, q)
			f.Record.Answer(g, q, a)
			mu.Lock()
			defer mu.Unlock()
			answered(q, a)
		})
		time.Sleep(interval)
	}
	wg.Wait()
}

// RecordRuns records what the workers ran.
func (f *Fleet) RecordRuns() {
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			f.Record.LineAt(r.At, "request %s run by worker %s of %s", r.Attempt, r.Worker, r.Service)
		}
	}
}

// Lost reports whether the caller of a request does not know whether it has run.
func (a Answer) Lost() bool { return a.Status == 0 || a.Status == 502 || a.Status == 504 }

// Main runs a case with the record at the path that is the program's argument, and ends the program with its status.
func Main(play func(record *Record, trouble bool) (int, string)) {
	if len(os.Args) != 2 {
		fmt.Println("the argument is the path of the record")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	code, result := play(record, os.Getenv("TROUBLE") != "0")
	record.Close(result)
	fmt.Println(result)
	os.Exit(code)
}
