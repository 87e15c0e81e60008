package network

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Status codes are valid from minStatus to maxStatus (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// InvalidHeadError means that what a server sent is not the head of an HTTP/1 response (RFC 9112). The bytes after it
// have no defined meaning, so the connection must be closed.
type InvalidHeadError struct {
	// Part names the part of the head that is invalid, and Text is that part.
	Part, Text string
}

// maxErrorText is the number of bytes of Text in an error message.
const maxErrorText = 100

// Error implements error.
func (e *InvalidHeadError) Error() string {
	return fmt.Sprintf("server sent no HTTP response: invalid %s %q", e.Part, e.Text[:min(len(e.Text), maxErrorText)])
}

// CheckResponseHead returns an InvalidHeadError if a head that net/http has read as that of an HTTP/1 response is not
// one. net/http accepts any version and status, and blanks in the names of fields; it does not use a field with such a
// name, also if it states the length of the body.
func CheckResponseHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return &InvalidHeadError{"version", resp.Proto}
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return &InvalidHeadError{"status", resp.Status}
	case !httpguts.ValidHeaderFieldValue(resp.Status):
		return &InvalidHeadError{"reason phrase", resp.Status}
	case resp.StatusCode == http.StatusSwitchingProtocols:
		// No request asks for another protocol.
		return &InvalidHeadError{"status", resp.Status}
	}
	return checkFieldNames(resp.Header)
}

func checkFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidHeadError{"field name", name}
		}
	}
	return nil
}

// EndsWithConnection reports whether a response has neither a length nor chunks, so that it ends in the same way when it
// is whole and when its server exits.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
