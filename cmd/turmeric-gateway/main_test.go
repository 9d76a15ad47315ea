package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/gateway"
	"github.com/turmericworks/turmericworks/internal/logsink"
	"github.com/turmericworks/turmericworks/internal/standin/ports"
)

const (
	// asGateway is set in the environment of a test process that runs the command.
	asGateway = "TURMERIC_TEST_AS_GATEWAY"
	// testTimeout bounds each wait for a process.
	testTimeout = 20 * time.Second
	// signalPause separates two signals, since the system delivers equal signals that wait together only once.
	signalPause = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(asGateway) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// output is what a process has written.
type output struct {
	mu   sync.Mutex
	data []byte
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data = append(o.data, b...)
	return len(b), nil
}

// await waits until a text was written.
func (o *output) await(ctx context.Context, text string) error {
	for {
		o.mu.Lock()
		found := bytes.Contains(o.data, []byte(text))
		o.mu.Unlock()
		if found {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%q was not written: %w", text, ctx.Err())
		case <-time.After(signalPause):
		}
	}
}

// process is an instance in a process of its own. Its settings file is a named pipe, so that the test decides when a read
// of the settings ends.
type process struct {
	t        *testing.T
	ctx      context.Context
	cmd      *exec.Cmd
	path     string
	settings []byte
	stdout   output
	ended    chan error
}

// startProcess starts an instance whose output is kept.
func startProcess(t *testing.T) *process {
	p := newProcess(t)
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, &p.stdout
	p.start()
	return p
}

// newProcess returns an instance that was not started.
func newProcess(t *testing.T) *process {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	settings, err := json.Marshal(gateway.Settings{
		Instance: "a", DataCentre: "b", LogLevel: "info", MemoryMB: 64, PeerPlainText: true,
		CallersAddress: ports.Free(t), ReadinessAddress: ports.Free(t), PeerAddress: ports.Free(t),
		MetricsAddress: ports.Free(t), LogService: ports.Free(t),
		Bounds: gateway.Bounds{KeyWithdrawalMS: 5000, AdapterVersionMS: 5000, GraceS: 4, DrainMS: 1000, RetryWindowS: 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, ctx: ctx, path: filepath.Join(t.TempDir(), "settings"), settings: settings, ended: make(chan error, 1)}
	if err := syscall.Mkfifo(p.path, 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.CommandContext(ctx, os.Args[0], "--settings", p.path)
	p.cmd.Env = append(os.Environ(), asGateway+"=1")
	return p
}

func (p *process) start() {
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
}

// answerRead waits until the process reads its settings, calls f while it reads, and gives it the settings.
func (p *process) answerRead(f func()) error {
	opened := make(chan error, 1)
	var pipe *os.File
	go func() {
		var err error
		// Opening the pipe waits for a process that reads it.
		pipe, err = os.OpenFile(p.path, os.O_WRONLY, 0)
		opened <- err
	}()
	select {
	case err := <-opened:
		if err != nil {
			return err
		}
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
	f()
	_, err := pipe.Write(p.settings)
	return errors.Join(err, pipe.Close())
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Error(err)
	}
	time.Sleep(signalPause)
}

// wait returns how the process ended.
func (p *process) wait() error {
	select {
	case err := <-p.ended:
		return err
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// TestSignalDuringStart guards against a process that ends because a signal arrives before its handlers are installed.
func TestSignalDuringStart(t *testing.T) {
	Convey("a SIGHUP while the settings are first read does not end the process", t, func() {
		p := startProcess(t)
		So(p.answerRead(func() { p.signal(syscall.SIGHUP) }), ShouldBeNil)
		So(p.stdout.await(p.ctx, `"message":"started"`), ShouldBeNil)
		So(p.answerRead(func() {}), ShouldBeNil)
		p.signal(syscall.SIGTERM)
		So(p.wait(), ShouldBeNil)
		So(p.stdout.await(p.ctx, `"message":"stopped"`), ShouldBeNil)
	})
	Convey("a SIGTERM at that time stops it as at any other time", t, func() {
		p := startProcess(t)
		So(p.answerRead(func() { p.signal(syscall.SIGTERM) }), ShouldBeNil)
		So(p.wait(), ShouldBeNil)
		So(p.stdout.await(p.ctx, `"message":"stopped"`), ShouldBeNil)
	})
}

// TestStopSignalBesideRereads guards against a stop signal that is dropped because many signals to read the settings again
// arrive while the settings are read.
func TestStopSignalBesideRereads(t *testing.T) {
	Convey("the process stops although it has not finished reading its settings", t, func() {
		const rereads = 8
		p := startProcess(t)
		So(p.answerRead(func() {}), ShouldBeNil)
		So(p.stdout.await(p.ctx, `"message":"started"`), ShouldBeNil)
		p.signal(syscall.SIGHUP)
		So(p.answerRead(func() {
			for range rereads {
				p.signal(syscall.SIGHUP)
			}
			p.signal(syscall.SIGTERM)
			So(p.stdout.await(p.ctx, `"message":"stopping"`), ShouldBeNil)
		}), ShouldBeNil)
		So(p.wait(), ShouldBeNil)
		So(p.stdout.await(p.ctx, `"message":"stopped"`), ShouldBeNil)
	})
}

// TestLogReaderEnds guards against a process that ends with its requests in flight because the reader of its log has ended.
func TestLogReaderEnds(t *testing.T) {
	Convey("the process serves on and stops in order", t, func() {
		p := newProcess(t)
		r, w, err := os.Pipe()
		So(err, ShouldBeNil)
		p.cmd.Stdout, p.cmd.Stderr = w, w
		p.start()
		So(w.Close(), ShouldBeNil)
		So(p.answerRead(func() {}), ShouldBeNil)
		_, err = r.Read(make([]byte, 1))
		So(err, ShouldBeNil)
		So(r.Close(), ShouldBeNil)
		p.signal(syscall.SIGHUP)
		So(p.answerRead(func() {}), ShouldBeNil)
		time.Sleep(2 * logsink.FlushInterval)
		p.signal(syscall.SIGTERM)
		So(p.wait(), ShouldBeNil)
	})
}
