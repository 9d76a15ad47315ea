// Command case8 shows what becomes of answers whose clients read them slowly.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/turmericworks/turmericworks/review/scene"
)

const (
	clients = 8
	// A lot entry has an answer of answerBytes and a deadline like that of fan-recap.
	answerBytes = 64 << 10
	deadline    = 20 * time.Second
	// hangUpAt is when the instance gets SIGHUP. The requests are sent sendDelay after it, within configApplyMs.
	hangUpAt, sendDelay = 4 * time.Second, 300 * time.Millisecond
	bufferBytes         = 8 << 10
	chunkBytes          = 24 << 10
	pause               = 5 * time.Second
)

func main() { scene.Main(play) }

// play returns the exit status and the result.
func play(record *scene.Record, trouble bool) (int, string) {
	scene.Bounds["drain_ms"], scene.Bounds["quota_slack"], scene.Bounds["retry_slack"] = 3000, 110000, 210
	route := scene.Route("r-lots", "/lots/", scene.Service, "non_idempotent")
	route["timeoutMs"] = deadline.Milliseconds()
	f, err := scene.NewFleet(record, scene.Config([]string{scene.Service}, route), []string{scene.Service}, 1)
	if err != nil {
		return scene.NotRun, err.Error()
	}
	defer f.Close()
	f.Workers[0].AnswerBytes = answerBytes
	time.Sleep(hangUpAt)
	if err := f.Gateways[0].Signal(syscall.SIGHUP); err != nil {
		return scene.NotRun, err.Error()
	}
	record.Line("SIGHUP sent to %s, whose settings are as before", f.Gateways[0].Name)
	time.Sleep(sendDelay)
	reader := scene.SlowReader{Buffer: bufferBytes, Chunk: answerBytes, Pause: 0}
	if trouble {
		reader.Chunk, reader.Pause = chunkBytes, pause
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for n := range clients {
		wg.Go(func() {
			complete := send(f, reader, n)
			mu.Lock()
			defer mu.Unlock()
			if complete {
				whole++
			} else {
				cut++
			}
		})
	}
	wg.Wait()
	f.RecordRuns()
	ran := len(f.Workers[0].Runs())
	result := fmt.Sprintf("LOST: %d of %d answers ended before they were complete; the worker ran %d requests and answered all of them whole", cut, clients, ran)
	switch {
	case ran != clients:
		return scene.NotRun, result
	case cut > 0:
		return scene.Broken, result
	}
	return scene.Held, result
}

// send sends a request on a new connection and reports whether the whole answer arrived.
func send(f *scene.Fleet, reader scene.SlowReader, n int) bool {
	c, err := reader.Connect(f.Gateways[0])
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	q := scene.Lot(n)
	q.Deadline = deadline
	attempt := fmt.Sprintf("%016x", 0x51ce<<32+n)
	f.Record.Line("request %s %s %s%s sent to %s", attempt, q.Method, q.Host, q.Path, f.Gateways[0].Name)
	a, length := reader.Send(c, q, attempt)
	f.Record.Line("request %s answered: status %d, stamp %q, %d of %d bytes after %.1f s, error: %v",
		attempt, a.Status, a.Stamp, length, answerBytes, a.Took.Seconds(), a.Err)
	return a.Status == 200 && length == answerBytes && a.Err == nil
}
