package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/config"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// TestPanicInHandler guards against a request that ends without an answer because a handler panics.
func TestPanicInHandler(t *testing.T) {
	var log bytes.Buffer
	s := New(Options{
		Config: config.NewView, Admit: func() error { return nil },
		Draining: func() bool { return false }, Record: func(event.Event) {}, Registry: prometheus.NewRegistry(),
		Log: zerolog.New(&log),
	})
	serve := func(h handler) (*http.Response, []byte, error) {
		server := httptest.NewServer(s.wrap("test", h))
		defer server.Close()
		client := server.Client()
		client.Timeout = 10 * time.Second
		resp, err := client.Get(server.URL)
		if err != nil {
			return nil, nil, err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
	Convey("Given a handler that panics", t, func() {
		log.Reset()
		Convey("before the request was run, it has not run", func() {
			resp, body, err := serve(func(*recorder, *request) error { panic("fault") })
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusInternalServerError)
			So(resp.Header.Get(verdict.Header), ShouldEqual, "not-run")
			So(string(body), ShouldContainSubstring, `"panic"`)
			So(string(body), ShouldNotContainSubstring, "fault")
			So(log.String(), ShouldContainSubstring, "TestPanicInHandler")
		})
		Convey("while the request runs, it may have run", func() {
			resp, _, err := serve(func(_ *recorder, r *request) error {
				s.recordAdmission(r, event.Event{})
				panic("fault")
			})
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusInternalServerError)
			So(resp.Header.Get(verdict.Header), ShouldEqual, "may-have-run")
		})
		Convey("after the answer has begun, the answer does not look complete", func() {
			_, _, err := serve(func(w *recorder, _ *request) error {
				w.WriteHeader(http.StatusOK)
				if err := writeEvent(w, []byte("{}")); err != nil {
					return err
				}
				panic("fault")
			})
			So(err, ShouldNotBeNil)
		})
		So(s.InFlight(), ShouldEqual, 0)
	})
}
