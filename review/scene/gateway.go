package scene

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Gateway is a process of turmeric-gateway.
type Gateway struct {
	Name, Host                 string
	Callers, Readiness, Stdout string

	dir      string
	settings []byte
	cmd      *exec.Cmd
	ended    chan struct{}
}

// Bounds are those in the settings of the instances. They begin as those of rausu-racks.
var Bounds = map[string]any{
	"key_withdrawal_ms": 5000, "adapter_version_ms": 5000, "drain_ms": 2000, "quota_slack": 72000, "grace_s": 8,
	"retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10,
}

// StartGateway starts a process with settings in a folder. Each one has a loopback address of its own.
func StartGateway(dir, host, name, zone, store string) (*Gateway, error) {
	ports, err := freePorts(host, 4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return net.JoinHostPort(host, fmt.Sprint(ports[i])) }
	g := &Gateway{Name: name, Host: host, Callers: at(0), Readiness: at(1), dir: dir, Stdout: filepath.Join(dir, name+".log")}
	g.settings, err = json.MarshalIndent(map[string]any{
		"instance": name, "data_centre": zone, "first_start": true, "callers_address": at(0), "readiness_address": at(1),
		"peer_address": at(2), "metrics_address": at(3), "log_service": store, "peer_plain_text": true, "memory_mb": 284,
		"caller_limits": map[string]any{"descriptors": 1000}, "bounds": Bounds,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return g, g.start()
}

func (g *Gateway) start() error {
	path := filepath.Join(g.dir, g.Name+".json")
	if err := os.WriteFile(path, g.settings, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(g.Stdout, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	g.cmd = exec.Command("target/turmeric-gateway", "--settings", path)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	// The process does not outlive a script that is killed.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := g.cmd, make(chan struct{})
	g.ended = ended
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	return nil
}

// AwaitReady waits until the instance says that it is ready.
func (g *Gateway) AwaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := http.Get("http://" + g.Readiness + "/turmericworks/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.Name)
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} { return g.ended }

// Stop ends the process, at once if it does not end by itself.
func (g *Gateway) Stop() {
	_ = g.Signal(syscall.SIGCONT)
	_ = g.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(stopTimeout):
		_ = g.Signal(syscall.SIGKILL)
		<-g.ended
	}
}

// freePorts returns ports of a host on which nothing listens.
func freePorts(host string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
