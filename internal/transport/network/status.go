package network

import (
	"net/http"

	"github.com/gravitational/trace"
)

// maxStatus is the largest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// CheckFinalStatus returns an error if a status cannot be that of a final response of HTTP. The client of net/http accepts any number
// of three digits, and returns a response with status 101, which ends HTTP on the connection, although no request of ours asks for that.
func CheckFinalStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return trace.BadParameter("%03d is not the status of a final response", status)
	}
	return nil
}
