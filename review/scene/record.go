package scene

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit statuses of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record of a script: what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates a record at a path, whose times count from now.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f}, nil
}

// Start is the time from which the record's times count.
func (r *Record) Start() time.Time { return r.start }

// Line adds a line with the time.
func (r *Record) Line(format string, args ...any) {
	r.LineAt(time.Now(), format, args...)
}

// LineAt adds a line with another time.
func (r *Record) LineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Answer adds lines for a request and its answer.
func (r *Record) Answer(g *Gateway, q Request, a Answer) {
	at := r.start.Add(a.Sent)
	r.LineAt(at, "request %s %s %s%s sent to %s", a.Attempt, q.Method, q.Host, q.Path, g.Name)
	what := fmt.Sprintf("status %d, stamp %q", a.Status, a.Stamp)
	if a.Err != nil {
		what = fmt.Sprintf("no answer: %v", a.Err)
	}
	r.LineAt(at.Add(a.Took), "request %s answered: %s", a.Attempt, what)
}

// Close ends the record with the result.
func (r *Record) Close(result string) {
	r.Line("%s", result)
	_ = r.file.Close()
}
