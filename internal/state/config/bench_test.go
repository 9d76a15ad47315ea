package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

var adapterCounts = []int{3000, 30000, 93000}

// BenchmarkFoldChange guards against a change whose cost grows with the number of adapters.
func BenchmarkFoldChange(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := foldWithAdapters(n)
			entries := make([]record.Entry, b.N)
			for i := range entries {
				op, _ := NewPut(KindAdapter, fmt.Sprintf("drying-note-%05d", i*7919%n), Adapter{Workspace: "crew-1",
					BaseModel: "kelp-base-8b", Versions: []string{"v1", "v2", "v3"}, Default: "v3"})
				e, _ := NewChange(fmt.Sprint("change-", i), "i", Change{Base: Version(i + 1), Operations: []Operation{op}})
				entries[i] = record.Entry{Offset: uint64(i + 1), UnixMilli: 2, Envelope: e}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, e := range entries {
				if f.Apply(e).Outcome != Accepted {
					b.Fatal("the change was not accepted")
				}
				f.Advance(e.Offset + 1)
			}
		})
	}
}

// BenchmarkResolve guards against a lookup whose cost grows with the number of adapters.
func BenchmarkResolve(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := foldWithAdapters(n).View()
			names := make([]string, 1024)
			for i := range names {
				names[i] = fmt.Sprintf("drying-note-%05d", i*7919%n)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, _, ok := v.Resolve(names[i%len(names)]); !ok {
					b.Fatal("unknown adapter")
				}
			}
		})
	}
}

// BenchmarkSnapshot guards against snapshots and views that exceed 64 MB of control-plane memory per node
// at 93,000 adapters.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := foldWithAdapters(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes := 0
			for b.Loop() {
				bytes = 0
				records, err := mustCapture(f).Snapshot("s", "i")
				if err != nil {
					b.Fatal(err)
				}
				for _, e := range records {
					bytes += len(e.Body)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "view-B/adapter")
			b.ReportMetric(float64(bytes)/float64(n), "snapshot-B/adapter")
		})
	}
}

// BenchmarkCheckDocument guards against a check of a whole document that takes longer than an operator
// waits.
func BenchmarkCheckDocument(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := foldWithAdapters(n).View().Document()
			d.Workspaces = map[string]Workspace{}
			for i := range 5 {
				d.Workspaces[fmt.Sprint("crew-", i)] = Workspace{TokensPerSecond: 1, BurstTokens: 1}
			}
			for b.Loop() {
				if err := CheckDocument(d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkWarningsOf guards against warnings that occupy an instance for a noticeable time after each change.
func BenchmarkWarningsOf(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := foldWithAdapters(n).View().Document()
			d.BackendServers = map[string]BackendServer{"e": {Kind: KindEngine, BaseModel: "kelp-base-8b", Slots: 1}}
			v := ViewOf(1, d)
			put, _ := NewPut(KindWorkspace, "crew-1", Workspace{TokensPerSecond: 1, BurstTokens: 1})
			b.ReportAllocs()
			for b.Loop() {
				if len(v.WarningsOf([]Operation{put})) == 0 {
					b.Fatal("no warning")
				}
			}
		})
	}
}
