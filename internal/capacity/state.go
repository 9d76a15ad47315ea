package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/fairqueue"
	standin "github.com/turmericworks/turmericworks/internal/standin/engine"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/intent"
	"github.com/turmericworks/turmericworks/internal/state/keys"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/transport/enginehttp"
)

func putAdapter(i int) config.Operation {
	op, err := config.NewPut(config.KindAdapter, fmt.Sprintf("drying-note-%05d", i), config.Adapter{
		Workspace: fmt.Sprintf("crew-%d", i%5), BaseModel: "kelp-base-8b", Versions: []string{"v1", "v2", "v3"}, Default: "v3",
		Class: config.Batch, DeadlineSeconds: 3600, Worth: 2,
	})
	if err != nil {
		panic(err) // the value encodes
	}
	return op
}

// changeRecords returns n records, each of which changes one of the given number of adapters.
func changeRecords(n, adapters int) []record.Envelope {
	out := make([]record.Envelope, n)
	for i := range out {
		change := config.Change{Base: config.Version(i + 1), Operations: []config.Operation{putAdapter(i * 7919 % adapters)}, Author: "operator"}
		env, err := config.NewChange(fmt.Sprintf("0123456789abcdef0123456789ab%04d", i%10000)+fmt.Sprint(i/10000), selfIncarnation, change)
		if err != nil {
			panic(err) // the value encodes
		}
		out[i] = env
	}
	return out
}

func foldWithAdapters(adapters int) (*config.Fold, error) {
	var ops []config.Operation
	for i := range adapters {
		ops = append(ops, putAdapter(i))
	}
	env, err := config.NewChange("first", selfIncarnation, config.Change{Operations: ops, Author: "operator"})
	if err != nil {
		return nil, err
	}
	f := config.NewFold()
	if r := f.Apply(record.Entry{Envelope: env, UnixMilli: 1}); r.Outcome != config.Accepted {
		return nil, fmt.Errorf("initial configuration rejected: %w", r.Err)
	}
	f.Advance(1)
	return f, nil
}

// ConfigMemory measures the memory of the folded configuration by number of adapters.
func ConfigMemory(sizes []int) (Series, error) {
	return measureSeries("config-memory", "adapter", "B", sizes, func(size int) (float64, error) {
		return retainedBytes(func() (*config.Fold, error) { return foldWithAdapters(size) })
	})
}

// ChangeCPU measures the CPU time to apply one change to the configuration, by number of adapters.
func ChangeCPU(sizes []int) (Series, error) {
	return measureSeries("config-change-cpu", "adapter", "us", sizes, func(size int) (float64, error) {
		f, err := foldWithAdapters(size)
		if err != nil {
			return 0, err
		}
		const changes = 5000
		entries := changeRecords(changes, size)
		start := cpuTime()
		for i, env := range entries {
			e := record.Entry{Offset: uint64(i + 1), UnixMilli: 2, Envelope: env}
			if r := f.Apply(e); r.Outcome != config.Accepted {
				return 0, fmt.Errorf("change %d rejected: %w", i, r.Err)
			}
			f.Advance(e.Offset + 1)
		}
		return float64((cpuTime() - start).Nanoseconds()) / 1000 / changes, nil
	})
}

// SnapshotBytes measures the size of a configuration snapshot's records by number of adapters.
func SnapshotBytes(sizes []int) (Series, error) {
	return measureSeries("config-snapshot-bytes", "adapter", "B", sizes, func(size int) (float64, error) {
		f, err := foldWithAdapters(size)
		if err != nil {
			return 0, err
		}
		capture, err := f.Capture()
		if err != nil {
			return 0, err
		}
		chunks, err := capture.Snapshot("snapshot", selfIncarnation)
		total := 0
		for _, c := range chunks {
			total += len(c.Body)
		}
		return float64(total), err
	})
}

// Keys measures memory, and the CPU time of one authentication in microseconds, by number of keys.
func Keys(sizes []int) (memory, cpu Series, err error) {
	memory, cpu = Series{Name: "key-memory", Per: "key", Unit: "B"}, Series{Name: "authenticate-cpu", Per: "key", Unit: "us"}
	for _, size := range sizes {
		secrets := make([]string, size)
		var f *config.Fold
		used, err := retainedBytes(func() (*config.Fold, error) {
			f, err = foldWithKeys(secrets)
			return f, err
		})
		if err != nil {
			return memory, cpu, err
		}
		v, i := f.View(), 0
		memory.Points = append(memory.Points, Point{float64(size), used})
		cpu.Points = append(cpu.Points, Point{float64(size), cpuPerCall(func() { i++; v.Authenticate(secrets[i%size]) })})
	}
	return memory.fit(), cpu.fit(), nil
}

// foldWithKeys returns a configuration with a new key for each element of secrets, and stores the key's secret there.
func foldWithKeys(secrets []string) (*config.Fold, error) {
	crew, err := config.NewPut(config.KindWorkspace, "crew-1", config.Workspace{TokensPerSecond: 1, BurstTokens: 1})
	if err != nil {
		return nil, err
	}
	ops := []config.Operation{crew}
	for i := range secrets {
		k, err := keys.Generate()
		if err != nil {
			return nil, err
		}
		secrets[i] = k.Secret
		op, err := config.NewPut(config.KindKey, k.ID, config.Key{Workspace: "crew-1", Hash: k.Hash})
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	env, err := config.NewChange("first", selfIncarnation, config.Change{Operations: ops})
	if err != nil {
		return nil, err
	}
	f := config.NewFold()
	if r := f.Apply(record.Entry{Envelope: env, UnixMilli: 1}); r.Outcome != config.Accepted {
		return nil, fmt.Errorf("keys rejected: %w", r.Err)
	}
	return f, nil
}

// QueueMemory measures the memory of the request queue by number of waiting requests.
func QueueMemory(sizes []int) (Series, error) {
	return measureSeries("queue-memory", "request", "B", sizes, func(size int) (float64, error) {
		start := time.Unix(1, 0)
		return retainedBytes(func() (*fairqueue.Queue, error) {
			q := fairqueue.New(fairqueue.Settings{MaxPerWorkspace: size, MaxTotal: size})
			for i := range size {
				_, err := q.Enqueue(fairqueue.Request{
					ID: fmt.Sprintf("0123456789abcdef0123456789abc%05d", i), Workspace: fmt.Sprintf("crew-%d", i%5),
					Adapter: adapter.Ref{Name: fmt.Sprintf("drying-note-%05d", i%3000), Version: "v2"}, Tokens: 800,
					Arrived: start, Deadline: start.Add(time.Hour), ServiceTime: time.Second,
				}, start)
				if err != nil {
					return nil, err
				}
			}
			return q, nil
		})
	})
}

// EventMemory measures the memory of the event ring by its capacity.
func EventMemory(sizes []int) (Series, error) {
	return measureSeries("event-memory", "event", "B", sizes, func(size int) (float64, error) {
		return retainedBytes(func() (*event.Recorder, error) {
			r := event.NewRecorder(instanceName(0), "dc-0", size)
			for i := range size {
				r.Append(event.Event{Kind: "settled", RequestID: fmt.Sprintf("0123456789abcdef0123456789abc%05d", i),
					Workspace: "crew-1", Adapter: "drying-note-00001", Version: "v2", Engine: "engine-0001"}, time.Unix(int64(i), 0))
			}
			return r, nil
		})
	})
}

// ActionBytes measures the size of the intent and outcome records of a non-idempotent call by the length of the answer.
func ActionBytes(sizes []int) (Series, error) {
	return measureSeries("action-record-bytes", "answer-byte", "B", sizes, func(size int) (float64, error) {
		key := intent.Key{Workspace: "crew-1", Route: "lot-log", Hash: intent.Hash([]byte("key"))}
		in, err := record.New(intent.KindIntent, "0123456789abcdef0123456789abcdef", selfIncarnation, intent.Intent{
			Key: key, BodyHash: intent.Hash([]byte("body")), CreatedMilli: 1 << 40, RequestID: "0123456789abcdef0123456789abcdef",
		})
		if err != nil {
			return 0, err
		}
		out, err := record.New(intent.KindOutcome, "0123456789abcdef0123456789abcdee", selfIncarnation, intent.Outcome{
			Key: key, IntentID: in.ID, Result: intent.Ran,
			Answer: &intent.Answer{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, size)},
		})
		if err != nil {
			return 0, err
		}
		data, err := record.Encode([]record.Envelope{in, out})
		return float64(len(data)), err
	})
}

// EnginePolls measures status reports of engines over HTTP on loopback, by number of engines: bytes in both directions,
// and the CPU time of both ends.
func EnginePolls(sizes []int) (bytes, cpu Series, err error) {
	bytes, cpu = Series{Name: "engine-poll-bytes", Per: "engine", Unit: "B"}, Series{Name: "engine-poll-cpu", Per: "engine", Unit: "us"}
	for _, size := range sizes {
		base, stop, err := serveHTTP(standin.New(standin.Options{Slots: 8, MaxBatch: 32}).Handler())
		if err != nil {
			return bytes, cpu, err
		}
		var count byteCounter
		engine := enginehttp.New(base, count.httpTransport())
		poll := func() {
			for range size {
				if _, callErr := engine.Status(context.Background()); callErr != nil {
					err = callErr
				}
			}
		}
		poll()
		before := count.total()
		poll()
		bytes.Points = append(bytes.Points, Point{float64(size), count.total() - before})
		cpu.Points = append(cpu.Points, Point{float64(size), cpuPerCall(poll)})
		stop()
		if err != nil {
			return bytes, cpu, err
		}
	}
	return bytes.fit(), cpu.fit(), nil
}
