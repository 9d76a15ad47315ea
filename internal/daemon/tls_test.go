package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/standin/authority"
	"github.com/turmericworks/turmericworks/internal/standin/stack"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

// TestFleetOverTLS guards against a listener or a client of the instance that does not use the certificates of the
// settings, and against plain text to an address that is not loopback.
func TestFleetOverTLS(t *testing.T) {
	dir := t.TempDir()
	runFleet(t, 2, func(o *stack.Options) { o.Authority, _ = authority.New(dir, "fleet") }, func(f *testFleet) {
		Convey("Callers, peers, backend servers and the platform are reached over TLS only", t, func() {
			for i := range f.instances {
				r, err := f.complete(i)
				So(err, ShouldBeNil)
				So(r.status, ShouldEqual, http.StatusOK)
				lot, err := f.logLot(i, newIdempotencyKey(), "lot")
				So(err, ShouldBeNil)
				So(lot.verdict, ShouldEqual, "ran")
			}
			f.stack.Log.SetDown(true)
			time.Sleep(10 * time.Second)
			// Without the log, the lease depends on the answers of the peers.
			r, err := f.complete(0)
			So(err, ShouldBeNil)
			So(r.status, ShouldEqual, http.StatusOK)
			for _, address := range []string{f.instance(0).settings.Listen.Callers, f.instance(0).settings.Listen.Admin} {
				plain := network.HTTPTransport(f.net.Host("caller"))
				resp, err := (&http.Client{Transport: plain}).Get("http://" + address + "/healthz")
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
				So(resp.Body.Close(), ShouldBeNil)
				plain.CloseIdleConnections()
			}
			_, err = f.instance(0).tlsConfigs.dialPlain(context.Background(), "instance2:2")
			So(err, ShouldNotBeNil)
		})
	})
}

// TestPlainTextIsRefusedOutsideLoopback guards against settings that send configuration or keys in plain text over
// a network.
func TestPlainTextIsRefusedOutsideLoopback(t *testing.T) {
	Convey("Every address that is not loopback needs a certificate, https or plain_text", t, func() {
		const members = `"instance":"a","data_centre":"b","platform":{"log_url":"http://10.0.0.1:1","list_url":"http://[::1]"},"listen":{"callers":"10.0.0.2:1"}`
		_, err := ParseSettings([]byte("{" + members + "}"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "/listen/callers")
		So(err.Error(), ShouldContainSubstring, "/platform/log_url")
		So(err.Error(), ShouldNotContainSubstring, "/platform/list_url")
		_, err = ParseSettings([]byte("{" + members + `,"tls":{"plain_text":true}}`))
		So(err, ShouldBeNil)
	})
}
