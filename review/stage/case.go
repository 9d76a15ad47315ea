package stage

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	RuleHeld = iota
	RuleBroken
	CouldNotRun
)

// Record is the file of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// Line writes a line with the time since the start in seconds.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that cannot be written is missed by its reader.
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Case plays a case with files in a temporary folder and returns an exit status. Trouble says whether there is a disruption.
type Case func(folder string, trouble bool, r *Record) (int, error)

// Main plays a case, whose record goes to the folder that the command's argument names, and exits.
func Main(c Case) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		os.Exit(CouldNotRun)
	}
	out, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(CouldNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	status := CouldNotRun
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var err error
		if status, err = c(folder, os.Getenv("TROUBLE") != "0", &Record{out: out, start: time.Now()}); err != nil {
			fmt.Println(err)
		}
	}()
	select {
	case <-ended:
	case <-stop:
		status = CouldNotRun
	}
	KillAll()
	// The folder is a temporary one.
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// Fleet starts an instance in each zone, with the memory of the small deployment, and waits until all are ready.
func Fleet(folder, store string, zones ...string) ([]*Instance, error) {
	const memoryMB, limit = 284, 10 * time.Second
	var list []*Instance
	for _, zone := range zones {
		i, err := NewInstance(folder, "frontend-"+zone, zone, store, memoryMB)
		if err != nil {
			return nil, err
		}
		if err := i.Start(); err != nil {
			return nil, err
		}
		list = append(list, i)
	}
	for _, i := range list {
		if err := i.AwaitReady(limit); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// Request is one attempt of a client.
type Request struct {
	Method, Host, Path, ID string
	Body                   io.Reader
	Header                 map[string]string
	Deadline               time.Duration
}

// Send sends a request to an instance on a new connection, and returns the status and the body of its answer. The status is 0 if
// there was no whole answer.
func (i *Instance) Send(q Request, r *Record) (status int, body string) {
	req, err := http.NewRequest(q.Method, "http://"+i.Callers+q.Path, q.Body)
	if err != nil {
		r.Line("%s %v", q.ID, err)
		return 0, ""
	}
	req.Host, req.Close = q.Host, true
	req.Header.Set("X-Attempt-Id", q.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	for k, v := range q.Header {
		req.Header.Set(k, v)
	}
	r.Line("%s is sent %s %s %s", i.Name, q.ID, q.Method, q.Path)
	client := http.Client{Timeout: q.Deadline}
	resp, err := client.Do(req)
	if err != nil {
		r.Line("%s gives no answer to %s: %v", i.Name, q.ID, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r.Line("%s answers %s: %d, %d bytes, %v", i.Name, q.ID, resp.StatusCode, len(data), err)
	if err != nil {
		return 0, string(data)
	}
	return resp.StatusCode, string(data)
}

// Limits are those of the small deployment's configuration.
func Limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
