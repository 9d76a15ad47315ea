package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/protocol/platform"
	"github.com/turmericworks/turmericworks/internal/state/event"
	"github.com/turmericworks/turmericworks/internal/transport/platformhttp"
)

// platformLog returns a client of the log service on the named host.
func (f *testFleet) platformLog(host string) platform.Log {
	return platformhttp.NewLog(scheme(f.authority)+"log:1", f.transport(host))
}

// chatParams returns a chat request for an answer of four tokens.
func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(4),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("summarise the shift")},
	}
}

// TestOfficialClientOverThreeInstances guards against an answer of another adapter or version, and against an API
// that the official client cannot use.
func TestOfficialClientOverThreeInstances(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("The official client works with each instance", t, func() {
			ctx := context.Background()
			for i := range f.instances {
				client := f.openAIClient(i, f.secret)
				answer, err := client.Chat.Completions.New(ctx, chatParams("summary"))
				So(err, ShouldBeNil)
				So(answer.Model, ShouldEqual, "summary@2")
				So(answer.Choices[0].Message.Content, ShouldStartWith, "summary@2/")

				stream := client.Chat.Completions.NewStreaming(ctx, chatParams("summary@1"))
				var text strings.Builder
				for stream.Next() {
					So(stream.Current().Model, ShouldEqual, "summary@1")
					if c := stream.Current().Choices; len(c) > 0 {
						text.WriteString(c[0].Delta.Content)
					}
				}
				So(stream.Err(), ShouldBeNil)
				So(strings.Count(text.String(), "summary@1/"), ShouldEqual, 4)

				models, err := client.Models.List(ctx)
				So(err, ShouldBeNil)
				So(len(models.Data), ShouldEqual, 5)
			}
		})
	})
}

// TestRefusalsSayNotRun guards against a refusal with the wrong status or verdict, and against a key that gives
// access to another workspace.
func TestRefusalsSayNotRun(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Refusals have the right status, code and verdict", t, func() {
			cases := []struct {
				secret, model string
				status        int
				code          string
			}{
				{f.secret, "missing", 404, "model_not_found"},
				{f.secret, "summary@9", 404, "model_not_found"},
				{f.secret, "foreign", 404, "model_not_found"},
				{"wrong", "summary", 401, "invalid_api_key"},
				{"tw_0123456789abcdef_" + strings.Repeat("0", 48), "public", 401, "invalid_api_key"},
			}
			for _, c := range cases {
				client := f.openAIClient(0, c.secret)
				_, err := client.Chat.Completions.New(context.Background(), chatParams(c.model))
				var apiErr *openai.Error
				So(errors.As(err, &apiErr), ShouldBeTrue)
				So(apiErr.StatusCode, ShouldEqual, c.status)
				So(apiErr.Code, ShouldEqual, c.code)
				So(apiErr.Response.Header.Get("Turmeric-Verdict"), ShouldEqual, "not-run")
			}
		})
	})
}

// TestWithdrawnKeyStopsWithinThreeSeconds guards against a withdrawn key that keeps working on a stream in flight
// or on a connection that is kept open.
func TestWithdrawnKeyStopsWithinThreeSeconds(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("A stream in flight ends with an error event within 3 s", t, func() {
			client := f.openAIClient(0, f.secret)
			p := chatParams("summary")
			p.MaxTokens = openai.Int(2000)
			stream := client.Chat.Completions.NewStreaming(context.Background(), p)
			So(stream.Next(), ShouldBeTrue)
			clear(f.doc.Keys)
			withdrawn := time.Now()
			f.publishDocument()
			for stream.Next() {
			}
			So(stream.Err(), ShouldNotBeNil)
			So(fmt.Sprint(stream.Err()), ShouldContainSubstring, "key_withdrawn")
			So(time.Since(withdrawn), ShouldBeLessThan, 3*time.Second)
			_, err := client.Chat.Completions.New(context.Background(), chatParams("summary"))
			So(err, ShouldNotBeNil)
		})
	})
}

// TestCallersKeyReachesNoBackendServer guards against a caller's key in anything that a backend server receives.
func TestCallersKeyReachesNoBackendServer(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("No header contains the key, and a body that contains it is refused", t, func() {
			client := f.openAIClient(0, f.secret)
			_, err := client.Chat.Completions.New(context.Background(), chatParams("summary"))
			So(err, ShouldBeNil)
			So(len(f.headers), ShouldBeGreaterThan, 0)
			for _, h := range f.headers {
				So(fmt.Sprint(h), ShouldNotContainSubstring, f.secret)
			}
			p := chatParams("summary")
			p.Messages = append(p.Messages, openai.UserMessage("my key is "+f.secret))
			_, err = client.Chat.Completions.New(context.Background(), p)
			var apiErr *openai.Error
			So(errors.As(err, &apiErr), ShouldBeTrue)
			So(apiErr.Code, ShouldEqual, "key_in_request")
		})
	})
}

// syncBuffer is a buffer for the log lines of several goroutines.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// TestCallersKeyIsInNoLogMetricOrEvent guards against a caller's key in what an instance reports to operators: log
// lines of every level, metrics and the timeline, also when callers send the key in the wrong place.
func TestCallersKeyIsInNoLogMetricOrEvent(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Nothing that the instance writes contains the key", t, func() {
			var out syncBuffer
			log := zerolog.New(&out).Level(zerolog.TraceLevel)
			f.log = &log
			f.start("logged")
			time.Sleep(testSettleTime)
			for _, path := range []string{"/services/status/" + f.secret, "/services/" + f.secret + "/x", "/v1/models?key=" + f.secret, "/" + f.secret} {
				_, err := f.call(1, http.MethodGet, path, "", nil)
				So(err, ShouldBeNil)
			}
			_, err := f.complete(1)
			So(err, ShouldBeNil)
			_, err = f.logLot(1, f.secret, "lot")
			So(err, ShouldBeNil)
			metrics, err := f.call(1, http.MethodGet, "/metrics", "", nil)
			So(err, ShouldBeNil)
			So(metrics.body, ShouldContainSubstring, "turmeric_requests_total")
			events, err := json.Marshal(f.instance(1).events.recorder.Events(event.Filter{}))
			So(err, ShouldBeNil)
			f.instance(1).drainAndWait()
			out.mu.Lock()
			defer out.mu.Unlock()
			So(out.b.Len(), ShouldBeGreaterThan, 0)
			for _, text := range []string{metrics.body, string(events), out.b.String()} {
				So(strings.Contains(text, f.secret), ShouldBeFalse)
			}
		})
	})
}
