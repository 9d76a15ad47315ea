package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/standin/bubble"
	"github.com/turmericworks/turmericworks/internal/state/routing"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/upstream"
)

// never exceeds all other times.
const never = 5 * time.Minute

// event returns the event with an id.
func event(id, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat(string(rune('a'+id%26)), size))
}

// standinStream is a stream of events, of which the first worker sends those before cut.
type standinStream struct {
	all, cut int
	size     func(id int) int
	// patience is how long a worker waits until an event is read.
	patience time.Duration
	pause    func() time.Duration
}

// again begins the streams of the other workers, which end with their connections.
const again = ": again\n\n"

func (s standinStream) answer(worker int, c net.Conn, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	head, part, end := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n", "%[2]s", ""
	if worker == 1 {
		head, part, end = head+"Transfer-Encoding: chunked\r\n", "%x\r\n%s\r\n", "0\r\n\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n")
	if worker > 1 {
		_, err = io.WriteString(c, again)
	}
	for id := last + 1; id <= s.all && err == nil; id++ {
		data := event(id, s.size(id))
		if worker == 1 && id == s.cut {
			_, _ = io.WriteString(c, "a\r\ndata: cut\n\r\n")
			return
		}
		data = fmt.Sprintf(part, len(data), data)
		if id == s.all {
			// One read may return the last event and the end.
			data += end
		}
		_ = c.SetWriteDeadline(time.Now().Add(s.patience))
		_, err = io.WriteString(c, data)
		time.Sleep(s.pause())
	}
}

// body returns what the caller gets up to the event with an id.
func (s standinStream) body(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		if id == s.cut {
			b.WriteString(again)
		}
		b.WriteString(event(id, s.size(id)))
	}
	return b.String()
}

// lateConn is the connection of a caller that reads from a time on, in parts of different sizes with pauses.
type lateConn struct {
	net.Conn
	from time.Time
	rnd  *rand.Rand
}

func (c lateConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.from))
	time.Sleep(time.Duration(c.rnd.IntN(1+c.rnd.IntN(400))) * time.Millisecond)
	return c.Conn.Read(b[:1+c.rnd.IntN(len(b))])
}

// lateCase is a stream whose caller reads late.
type lateCase struct {
	name                           string
	events, cut                    int
	timeout, patience, pause       time.Duration
	readsAt, leavesAt, endsBy      time.Duration
	whole                          bool
	outcomes                       []Outcome
	placeReturned, placeReturnedBy time.Duration
	// seed chooses sizes, pauses and the limit; if it is 0, they are fixed.
	seed uint64
}

// TestCallerReadsLate guards, for callers that do not read for a while, against streams that their workers cut off, places that
// are occupied until the caller has read or that are returned twice, memory beyond the limit, connections without progress that
// stay open, attempts that go on without their callers, a log that takes the caller's pauses for the worker's, and events that are
// lost, repeated, reordered or cut, whenever reading changes between the two goroutines.
func TestCallerReadsLate(t *testing.T) {
	const ms, second, endless, window = time.Millisecond, time.Second, 1 << 20, callerlimits.DefaultWriteWindow
	cases := []lateCase{
		{"longer than the worker waits", 25, 0, never, 2 * second, 100 * ms, 10 * second, never, window, true, []Outcome{Succeeded}, 0, 3 * second, 0},
		// The last event exceeds the limit.
		{"a short stream, never", 30, 0, never, never, 0, never, never, window + 5*second, false, []Outcome{Succeeded}, 0, second, 0},
		{"an endless stream, never", endless, 0, never, never, 10 * ms, never, never, window + 5*second, false, []Outcome{Abandoned}, window, window + 5*second, 0},
		{"the caller leaves", endless, 0, never, never, 10 * ms, never, 1500 * ms, 1520 * ms, false, []Outcome{Abandoned}, 1500 * ms, 1510 * ms, 0},
		{"the worker cuts an event", 15, 11, never, never, 0, 5 * second, never, window, true, []Outcome{Interrupted, Succeeded}, 0, second, 0},
		{"the deadline passes", endless, 0, 12 * second, never, 10 * ms, 6 * second, never, window, false, []Outcome{Abandoned}, 12 * second, 12010 * ms, 0},
	}
	for seed := range uint64(20) {
		cases = append(cases,
			lateCase{fmt.Sprint("seed ", seed), 60, 0, never, never, 150 * ms, 0, never, never, true, []Outcome{Succeeded}, 0, never, seed + 1},
			lateCase{fmt.Sprint("cut, seed ", seed), 60, 2 + int(2*seed), never, never, 150 * ms, 0, never, never, true, []Outcome{Interrupted, Succeeded}, 0, never, seed + 1})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { bubble.Run(t, func(t *testing.T) { testCallerReadsLate(t, c) }) })
	}
}

func testCallerReadsLate(t *testing.T, c lateCase) {
	rnd, pauses := rand.New(rand.NewPCG(c.seed, 1)), rand.New(rand.NewPCG(c.seed, 2))
	limit, buffers := int64(128<<10), int64(0)
	stream := standinStream{c.events, c.cut, func(int) int { return 4 << 10 }, c.patience, func() time.Duration { return c.pause }}
	if c.seed > 0 {
		sizes, largest := make([]int, c.events), 20<<10
		if c.seed%4 == 0 {
			// The buffers of such events count, too.
			largest, buffers = 150<<10, 512<<10
		}
		for i := range sizes {
			sizes[i] = rnd.IntN(1 + rnd.IntN(largest))
		}
		limit = 16<<10 + rnd.Int64N(64<<10)
		stream.size = func(id int) int { return sizes[id-1] }
		stream.pause = func() time.Duration { return time.Duration(pauses.Int64N(1 + pauses.Int64N(int64(c.pause)))) }
	}
	var mu sync.Mutex
	var outcomes []Outcome
	var returned time.Duration
	var most, left int64
	var log bytes.Buffer
	began := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	g := &standinGateway{route: routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 3, Timeout: c.timeout}}
	g.retries.Store(10)
	g.onDone = func(o Outcome) {
		mu.Lock()
		defer mu.Unlock()
		if outcomes = append(outcomes, o); len(outcomes) == 1 {
			returned = time.Since(began)
		}
	}
	g.listen = func(l net.Listener, server *http.Server) net.Listener {
		own := guard.New("callers", callerlimits.Derive(136<<20, 2870), guard.NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
		go own.Run(ctx)
		server.Handler, server.ConnContext, server.ConnState = guard.Handler(server.Handler), guard.ConnContext, guard.ConnState
		return own.Listener(l, false)
	}
	g.caller = func(conn net.Conn) net.Conn {
		time.AfterFunc(c.leavesAt, func() { _ = conn.Close() })
		return lateConn{conn, began.Add(c.readsAt), rnd}
	}
	g.beforeRequest = func(s *Server) {
		s.Log, s.Unread = zerolog.New(&log), callerlimits.Unread{Each: limit, Shared: 1 << 20}
		go func() {
			for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				mu.Lock()
				left = s.ResponseMemory.Used()
				most = max(most, left)
				mu.Unlock()
			}
		}()
	}
	_, body, whole := serveThrough(t, g, stream.answer)
	cancel()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	var line struct {
		MS     int64 `json:"ms"`
		Pause  int64 `json:"pause_ms"`
		Behind int64 `json:"behind_ms"`
	}
	err, got := json.Unmarshal(log.Bytes(), &line), strings.Count(body, "id: ")
	Convey("the caller gets what is ready, and all else is returned in time", t, func() {
		So(whole, ShouldEqual, c.whole)
		So(body == stream.body(got), ShouldBeTrue)
		So(got > 0, ShouldEqual, c.readsAt < never)
		So(outcomes, ShouldResemble, c.outcomes)
		So(returned, ShouldBeBetweenOrEqual, c.placeReturned, c.placeReturnedBy)
		So(most, ShouldBeLessThanOrEqualTo, limit+buffers)
		So(left, ShouldEqual, 0)
		So(err, ShouldBeNil)
		So(line.MS, ShouldBeLessThan, c.endsBy.Milliseconds())
		So(line.Pause, ShouldBeLessThan, 250)
		So(line.Behind, ShouldBeGreaterThan, 1000)
	})
}

// BenchmarkStream measures the forwarding of a stream of 100 events of 200 bytes, without sockets, to a caller that reads in time.
func BenchmarkStream(b *testing.B) {
	s := &Server{Metrics: noMetrics{}, Headers: plainHeaders{}, ResponseMemory: bytebudget.New(1 << 20), Log: zerolog.Nop()}
	text := event(1, 200)
	for b.Loop() {
		c := &call{server: s, job: &Job{}, w: &httptest.ResponseRecorder{}, headerSent: true, answering: true}
		events := make([]io.Reader, 100)
		for i := range events {
			events[i] = strings.NewReader(text)
		}
		if err := c.forwardStream(&upstream.Response{Response: &http.Response{Body: io.NopCloser(io.MultiReader(events...))}}); err != nil {
			b.Fatal(err)
		}
	}
}
