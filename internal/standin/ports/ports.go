// Package ports gives tests addresses for processes that they start.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

const (
	// firstPort and lastPort are below the ports that the operating system gives to outgoing connections, one of which may
	// otherwise take the port before the process listens on it.
	firstPort, lastPort = 10000, 32000
	// portsPerProcess is the maximum number of ports that one test process uses at a time.
	portsPerProcess = 100
)

var (
	mu sync.Mutex
	// base is the first port of this test process. Concurrent test processes have different ones.
	base = firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)
	next = base
)

// Free returns a loopback address, as HOST:PORT, on which nothing listens. Ports are used again after portsPerProcess calls.
func Free(t testing.TB) string {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	for range portsPerProcess {
		if next++; next >= base+portsPerProcess {
			next = base
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(next)))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no free port found")
	return ""
}
