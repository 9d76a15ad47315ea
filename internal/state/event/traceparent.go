package event

import (
	"encoding/hex"
	"fmt"

	"github.com/gravitational/trace"
)

// TraceParent is the W3C trace context header "traceparent".
type TraceParent struct {
	TraceID  [16]byte
	ParentID [8]byte
	// Sampled is the lowest bit of the flags. Version 00 does not use the others.
	Sampled bool
}

const (
	// traceParentLength is the length of a header of version 00: "00-" 32 digits "-" 16 digits "-" 2 digits.
	traceParentLength = 55
	flagSampled       = 1
)

// ParseTraceParent parses the header. As the standard requires, upper-case digits are refused, which encoding/hex would
// accept, and a header of a later version is parsed as version 00 and may be longer.
func ParseTraceParent(s string) (TraceParent, error) {
	var t TraceParent
	if len(s) < traceParentLength || s[2] != '-' || s[35] != '-' || s[52] != '-' {
		return t, trace.BadParameter("traceparent does not have four parts of fixed length")
	}
	var version, flags [1]byte
	if !decodeLower(version[:], s[:2]) || !decodeLower(t.TraceID[:], s[3:35]) ||
		!decodeLower(t.ParentID[:], s[36:52]) || !decodeLower(flags[:], s[53:55]) {
		return TraceParent{}, trace.BadParameter("traceparent contains a character that is not a lower-case hexadecimal digit")
	}
	longer := len(s) > traceParentLength
	if version[0] == 0xff || version[0] == 0 && longer || longer && s[traceParentLength] != '-' {
		return TraceParent{}, trace.BadParameter("traceparent has an invalid version or length")
	}
	if t.TraceID == [16]byte{} || t.ParentID == [8]byte{} {
		return TraceParent{}, trace.BadParameter("traceparent has a trace ID or parent ID of all zeros")
	}
	t.Sampled = flags[0]&flagSampled != 0
	return t, nil
}

// decodeLower decodes lower-case hexadecimal digits that fill dst, and reports whether s has this form.
func decodeLower(dst []byte, s string) bool {
	for _, c := range []byte(s) {
		if c >= 'A' && c <= 'F' {
			return false
		}
	}
	n, err := hex.Decode(dst, []byte(s))
	return err == nil && n == len(dst)
}

// String returns the header in the form of version 00.
func (t TraceParent) String() string {
	flags := 0
	if t.Sampled {
		flags = flagSampled
	}
	return fmt.Sprintf("00-%x-%x-%02x", t.TraceID, t.ParentID, flags)
}

// Child returns the context for an outgoing call, with a parent ID that the caller generates.
func (t TraceParent) Child(parentID [8]byte) TraceParent {
	t.ParentID = parentID
	return t
}
