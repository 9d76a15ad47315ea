package capacity

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/membership"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/standin/instancelist"
	"github.com/turmericworks/turmericworks/internal/standin/logservice"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/platformhttp"
	"github.com/turmericworks/turmericworks/internal/transport/tail"
)

// LogReaders is the cost of instances that follow one stream of the log by long polls, measured against the stand-in
// log service over HTTP on loopback.
type LogReaders struct {
	// Reads is the number of reads per second by all instances together while nothing is appended.
	Reads Series
	// Bytes is the bytes per second of one instance in both directions while nothing is appended.
	Bytes Series
	// InForce is the time in milliseconds from the call of an append until the last instance has delivered the
	// record; the maximum of several appends.
	InForce Series
}

// follower is one instance that follows a stream.
type follower struct {
	tail *tail.Tail
	next atomic.Uint64
}

// Readers measures LogReaders by number of instances, with nothing appended for the duration idle.
func Readers(sizes []int, idle time.Duration) (LogReaders, error) {
	out := LogReaders{
		Reads:   Series{Name: "log-reads-per-stream", Per: "instance", Unit: "reads/s"},
		Bytes:   Series{Name: "log-idle-bytes-per-stream", Per: "instance", Unit: "B/s"},
		InForce: Series{Name: "time-in-force", Per: "instance", Unit: "ms"},
	}
	for _, size := range sizes {
		reads, bytes, inForce, err := measureReaders(size, idle)
		if err != nil {
			return out, err
		}
		out.Reads.Points = append(out.Reads.Points, Point{float64(size), reads})
		out.Bytes.Points = append(out.Bytes.Points, Point{float64(size), bytes})
		out.InForce.Points = append(out.InForce.Points, Point{float64(size), inForce})
	}
	out.Reads, out.Bytes, out.InForce = out.Reads.fit(), out.Bytes.fit(), out.InForce.fit()
	return out, nil
}

func measureReaders(n int, idle time.Duration) (reads, bytes, inForce float64, err error) {
	var served atomic.Int64
	handler := logservice.New(time.Hour).Handler()
	base, stop, err := serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			served.Add(1)
		}
		handler.ServeHTTP(w, r)
	}))
	if err != nil {
		return 0, 0, 0, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var count byteCounter
	var all []*follower
	for range n {
		f := &follower{}
		f.tail = tail.New(platformhttp.NewLog(base, count.httpTransport()), platform.StreamConfig, 0, tail.Handlers{
			Records: func(_ []record.Entry, next uint64) { f.next.Store(next) },
			Gap:     func(uint64) {}, AtTail: func(time.Time, uint64) {}, Unavailable: func(error) {},
		})
		all = append(all, f)
		running.Go(func() { _ = f.tail.Serve(ctx) }) // returns when the context is done
	}
	writer := platformhttp.NewLog(base, &http.Transport{})
	if _, err := appendAndWait(ctx, writer, all, 1); err != nil { // opens the connections
		return 0, 0, 0, err
	}
	startReads, startBytes, start := served.Load(), count.total(), time.Now()
	time.Sleep(idle)
	seconds := time.Since(start).Seconds()
	reads = float64(served.Load()-startReads) / seconds
	bytes = (count.total() - startBytes) / seconds / float64(n)
	for i := range 5 {
		took, err := appendAndWait(ctx, writer, all, uint64(i+2))
		if err != nil {
			return 0, 0, 0, err
		}
		inForce = max(inForce, float64(took.Microseconds())/1000)
	}
	return reads, bytes, inForce, nil
}

// appendAndWait appends a record, after which the stream holds length records, and returns the time until all instances
// have read it.
func appendAndWait(ctx context.Context, log *platformhttp.Log, all []*follower, length uint64) (time.Duration, error) {
	data, err := record.Encode(changeRecords(1, 1))
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := log.Append(ctx, platform.StreamConfig, data); err != nil {
		return 0, err
	}
	for _, f := range all {
		for f.next.Load() < length {
			if time.Since(start) > time.Minute {
				return 0, fmt.Errorf("an instance did not read the record within 1 min")
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start), nil
}

// ReadBytes measures the bytes of one read by the number of configuration changes in it, each from a separate append.
func ReadBytes(sizes []int) (Series, error) {
	return measureSeries("log-read-bytes", "change", "B", sizes, func(size int) (float64, error) {
		base, stop, err := serveHTTP(logservice.New(time.Hour).Handler())
		if err != nil {
			return 0, err
		}
		defer stop()
		ctx := context.Background()
		writer := platformhttp.NewLog(base, &http.Transport{})
		for _, change := range changeRecords(size, size) {
			data, err := record.Encode([]record.Envelope{change})
			if err != nil {
				return 0, err
			}
			if _, err := writer.Append(ctx, platform.StreamConfig, data); err != nil {
				return 0, err
			}
		}
		var count byteCounter
		reader := platformhttp.NewLog(base, count.httpTransport())
		if _, err := reader.Read(ctx, platform.StreamConfig, 0, 500, 0); err != nil {
			return 0, err
		}
		return count.total(), nil
	})
}

// ListBytes measures the bytes of one read of the platform's instance list by its length.
func ListBytes(sizes []int) (Series, error) {
	return measureSeries("instance-list-bytes", "instance", "B", sizes, func(size int) (float64, error) {
		list := instancelist.New(0)
		var all []platform.Instance
		for i := range size {
			all = append(all, platform.Instance{ID: instanceName(i), DataCentre: fmt.Sprintf("dc-%d", i%11),
				PeerAddr: fmt.Sprintf("10.20.30.40:%d", 10000+i), State: platform.Live})
		}
		list.Set(all)
		base, stop, err := serveHTTP(list.Handler())
		if err != nil {
			return 0, err
		}
		defer stop()
		var count byteCounter
		_, err = platformhttp.NewInstanceList(base, count.httpTransport()).List(context.Background())
		return count.total(), err
	})
}

// WithdrawalAppends counts the withdrawals that the members append when one instance refuses connections. The last
// heartbeat reaches each member at a different phase, and every member reads the first withdrawal readBack after it was
// appended. It runs in virtual time.
func WithdrawalAppends(sizes []int, readBack time.Duration) (Series, error) {
	return measureSeries("withdrawals-per-failure", "member", "appends", sizes, func(size int) (float64, error) {
		dead := members.Member{Incarnation: incarnation(9999), Join: members.Join{Instance: instanceName(9999)}}
		var views []*membership.View
		for i := range size {
			v := membership.New(instanceName(i), incarnation(i))
			own := members.Member{Incarnation: incarnation(i), Join: members.Join{Instance: instanceName(i)}}
			heard := membership.HeartbeatInterval * time.Duration(i) / time.Duration(size)
			v.SetMembers(heard, []members.Member{own, dead})
			v.RecordHeartbeat(heard, dead.Instance, dead.Incarnation, 0, nil)
			v.RecordRefusal(dead.Instance, dead.Incarnation)
			views = append(views, v)
		}
		first, appended := time.Duration(-1), 0
		for now := time.Duration(0); first < 0 || now < first+readBack; now += time.Millisecond {
			for i, v := range views {
				// Each member's control loop ticks every 100 ms, at its own phase.
				if (int(now/time.Millisecond)+i*37)%100 == 0 && len(v.Tick(now).Withdraw) > 0 {
					appended++
					if first < 0 {
						first = now
					}
				}
			}
		}
		return float64(appended), nil
	})
}

// RegrantBytes measures the size of the record that settles one failure, by number of members.
func RegrantBytes(sizes []int, workspaces int) (Series, error) {
	return measureSeries("regrant-record-bytes", "member", "B", sizes, func(size int) (float64, error) {
		r := ledger.Regrant{Ended: []string{incarnation(9999)}, Reports: map[string]ledger.NetParts{}}
		for i := range size {
			net := ledger.NetParts{}
			for w := range workspaces {
				net[fmt.Sprintf("workspace-%02d", w)] = int64(1000 + i)
			}
			r.Reports[incarnation(i)] = net
		}
		env, err := record.New(ledger.KindRegrant, "0123456789abcdef0123456789abcdef", selfIncarnation, r)
		if err != nil {
			return 0, err
		}
		data, err := record.Encode([]record.Envelope{env})
		return float64(len(data)), err
	})
}
