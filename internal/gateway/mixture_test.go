package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/turmericworks/turmericworks/internal/coordination/workerload"
)

// TestRequestMix guards against an owner that decides by less than the asking instance knows of a request, and against one that trusts
// an expected length beyond the maximum.
func TestRequestMix(t *testing.T) {
	Convey("an owner reads what an instance has sent", t, func() {
		r := workerload.Request{
			Prompt: 9200, Output: 300, Expected: 80, Late: true, Owed: true, Parts: []workerload.Part{{ID: 7, Tokens: 6300}},
			Mixture: workerload.Mixture{ShortTarget: 500 * time.Millisecond, Short: 650, Long: 9200},
		}
		So(requestOfMix(r.Prompt, r.Output, requestMix(r)), ShouldResemble, r)
		hinted := workerload.Request{Prompt: 10, Output: 300, Expected: 80}
		So(requestOfMix(10, 300, requestMix(hinted)), ShouldResemble, hinted)
		So(requestOfMix(10, 40, requestMix(hinted)).Expected, ShouldEqual, 40)
		So(requestMix(workerload.Request{Prompt: 10, Output: 300}), ShouldBeNil)
	})
}
