package program

import (
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// testTimeout bounds the wait for a signal.
	testTimeout = 5 * time.Second
	// signalPause separates two signals, since the system delivers equal signals that wait together only once.
	signalPause = 5 * time.Millisecond
)

func send(t *testing.T, signals ...syscall.Signal) {
	for _, s := range signals {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(signalPause)
	}
}

func receive(c <-chan os.Signal) os.Signal {
	select {
	case s := <-c:
		return s
	case <-time.After(testTimeout):
		return nil
	}
}

// TestSignals guards against stop signals that are lost beside signals to read the settings again, and the reverse.
func TestSignals(t *testing.T) {
	Convey("stop signals are kept beside many others, in their order", t, func() {
		s := NotifySignals()
		reread := s.Reread()
		for range 8 {
			send(t, syscall.SIGHUP)
		}
		send(t, syscall.SIGTERM, syscall.SIGINT)
		So(receive(s.Stop()), ShouldEqual, syscall.SIGTERM)
		So(receive(s.Stop()), ShouldEqual, syscall.SIGINT)
		Convey("and a signal to read again is received after others, once", func() {
			So(receive(reread), ShouldEqual, syscall.SIGHUP)
			So(reread, ShouldBeEmpty)
			send(t, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP)
			So(receive(reread), ShouldEqual, syscall.SIGHUP)
		})
	})
}
