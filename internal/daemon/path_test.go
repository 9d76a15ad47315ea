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

func (f *testFleet) platformLog(host string) platform.Log {
	return platformhttp.NewLog(scheme(f.authority)+"log:1", f.transport(host))
}

func prompt(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(4),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("summarise the shift")},
	}
}

// Guards against an answer of another adapter or version, and against an interface that the official
// client cannot use.
func TestOfficialClientOverThreeInstances(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("The official client works through each instance", t, func() {
			ctx := context.Background()
			for i := range f.instances {
				client := f.openAI(i, f.secret)
				answer, err := client.Chat.Completions.New(ctx, prompt("summary"))
				So(err, ShouldBeNil)
				So(answer.Model, ShouldEqual, "summary@2")
				So(answer.Choices[0].Message.Content, ShouldStartWith, "summary@2/")

				stream := client.Chat.Completions.NewStreaming(ctx, prompt("summary@1"))
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

// Guards against a refusal whose status or verdict is wrong, and against a key that opens another
// workspace.
func TestRefusalsSayNotRun(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Refusals carry status, code and verdict", t, func() {
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
				client := f.openAI(0, c.secret)
				_, err := client.Chat.Completions.New(context.Background(), prompt(c.model))
				var apiErr *openai.Error
				So(errors.As(err, &apiErr), ShouldBeTrue)
				So(apiErr.StatusCode, ShouldEqual, c.status)
				So(apiErr.Code, ShouldEqual, c.code)
				So(apiErr.Response.Header.Get("Turmeric-Verdict"), ShouldEqual, "not-run")
			}
		})
	})
}

// Guards against a withdrawn key that keeps working on a stream in flight or on a kept connection.
func TestWithdrawnKeyStopsWithinThreeSeconds(t *testing.T) {
	runFleet(t, 3, nil, func(f *testFleet) {
		Convey("A stream in flight ends in an error event within 3 s", t, func() {
			client := f.openAI(0, f.secret)
			p := prompt("summary")
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
			_, err := client.Chat.Completions.New(context.Background(), prompt("summary"))
			So(err, ShouldNotBeNil)
		})
	})
}

// Guards against a caller's key in anything that a backend server receives.
func TestCallersKeyReachesNoBackendServer(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("No header holds the key, and a body with the key is refused", t, func() {
			client := f.openAI(0, f.secret)
			_, err := client.Chat.Completions.New(context.Background(), prompt("summary"))
			So(err, ShouldBeNil)
			So(len(f.headers), ShouldBeGreaterThan, 0)
			for _, h := range f.headers {
				So(fmt.Sprint(h), ShouldNotContainSubstring, f.secret)
			}
			p := prompt("summary")
			p.Messages = append(p.Messages, openai.UserMessage("my key is "+f.secret))
			_, err = client.Chat.Completions.New(context.Background(), p)
			var apiErr *openai.Error
			So(errors.As(err, &apiErr), ShouldBeTrue)
			So(apiErr.Code, ShouldEqual, "key_in_request")
		})
	})
}

// syncBuffer collects log lines of many goroutines.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against a caller's key in what an instance tells operators: log lines at every level, metrics and
// the timeline, also when the key is in places where it does not belong.
func TestCallersKeyIsInNoLogMetricOrEvent(t *testing.T) {
	runFleet(t, 1, nil, func(f *testFleet) {
		Convey("Nothing that the instance writes holds the key", t, func() {
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
			f.instance(1).stopPlanned()
			out.mu.Lock()
			defer out.mu.Unlock()
			So(out.b.Len(), ShouldBeGreaterThan, 0)
			for _, text := range []string{metrics.body, string(events), out.b.String()} {
				So(strings.Contains(text, f.secret), ShouldBeFalse)
			}
		})
	})
}
