package stage

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, built into the repository's folder target.
const program = "target/turmeric-gateway"

// Listen opens a listener on a free loopback port.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Serve serves a handler on a free loopback port until the process ends, and returns its address.
func Serve(h http.Handler) (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	go func() {
		// It ends with the process.
		_ = http.Serve(l, h)
	}()
	return l.Addr().String(), nil
}

// started are the instances whose processes were started.
var (
	startedLock sync.Mutex
	started     []*Instance
)

// KillAll ends the processes of all instances.
func KillAll() {
	startedLock.Lock()
	defer startedLock.Unlock()
	for _, i := range started {
		i.Kill()
	}
}

// Instance is one machine with an instance of the product.
type Instance struct {
	Name, Zone, Callers, Ready string
	MemoryMB                   int
	folder, settings           string
	values                     map[string]any

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// NewInstance returns an instance with the bounds of the small deployment, whose files are in a folder.
func NewInstance(folder, name, zone, store string, memoryMB int) (*Instance, error) {
	var addresses [4]string
	for i := range addresses {
		a, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	i := &Instance{Name: name, Zone: zone, Callers: addresses[0], Ready: addresses[1], MemoryMB: memoryMB, folder: folder}
	i.settings = filepath.Join(folder, name+".json")
	i.values = map[string]any{
		"instance": name, "data_centre": zone, "callers_address": addresses[0], "readiness_address": addresses[1],
		"peer_address": addresses[2], "metrics_address": addresses[3], "log_service": store, "peer_plain_text": true, "memory_mb": memoryMB,
		"bounds": map[string]any{
			"key_withdrawal_ms": 5000, "adapter_version_ms": 5000, "drain_ms": 2000, "quota_slack": 72000, "grace_s": 8,
			"retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10,
		},
	}
	return i, nil
}

// writeSettings writes the settings file. FirstStart is true only when the whole system starts for the first time.
func (i *Instance) writeSettings(firstStart bool) error {
	i.values["first_start"] = firstStart
	data, err := json.Marshal(i.values)
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, data, 0o600)
}

// Start starts the instance's process, whose output goes to a file in the folder.
func (i *Instance) Start() error {
	if err := i.writeSettings(i.ended == nil); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(i.folder, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "--settings", i.settings)
	cmd.Stdout, cmd.Stderr = out, out
	startedLock.Lock()
	defer startedLock.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	started = append(started, i)
	ended := make(chan struct{})
	go func() {
		// How the process ended is not asked.
		_ = cmd.Wait()
		close(ended)
	}()
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended
	i.mu.Unlock()
	return nil
}

// Kill ends the instance's process at once and waits for its end.
func (i *Instance) Kill() {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	// A process that has ended needs no signal.
	_ = cmd.Process.Kill()
	<-ended
}

// Signal sends a signal to the instance's process.
func (i *Instance) Signal(s syscall.Signal) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Signal(s)
}

// Ended reports whether the instance's process has ended.
func (i *Instance) Ended() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// ResidentMB returns the resident memory of the instance's process in megabytes, 0 if it cannot be read.
func (i *Instance) ResidentMB() int {
	i.mu.Lock()
	pid := i.cmd.Process.Pid
	i.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

// AwaitReady waits until the instance says that it is ready.
func (i *Instance) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + i.Ready + "/turmericworks/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", i.Name, limit)
}
