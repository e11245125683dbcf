package httpcheck

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Head returns why the head of a response is no valid one, or nil. net/http lets through more than the
// protocol does; nothing of such a response may be used, and nothing that follows it on its connection. The
// status may be one of an informational response. The text is what the connection brought from the head of the
// response on; without it, what net/http removes from a head is not checked.
func Head(response *http.Response, text []byte) error {
	if response.ProtoMajor != 1 {
		return errors.Newf("the response is of the unknown version %s", response.Proto)
	}
	if err := checkStatus(response); err != nil {
		return err
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	return checkOldFraming(response, text)
}

// lowestStatus is the lowest status that there is. One above 599 has no meaning of its own, and stands for a
// server error (RFC 9110, section 15).
const lowestStatus = 100

// checkStatus checks the status. An informational response has no body, so that one which claims to have a body
// is followed by bytes that are no response. Nobody asks a server to switch to another protocol.
func checkStatus(response *http.Response) error {
	switch status := response.StatusCode; {
	case status < lowestStatus:
		return errors.Newf("the response has the invalid status %03d", status)
	case status >= http.StatusOK:
		return nil
	case status == http.StatusSwitchingProtocols:
		return errors.New("the server switches protocols unasked")
	case claimsBody(response):
		return errors.Newf("the response has a body although its status is %d", status)
	}
	return nil
}

// claimsBody reports whether an informational response says that it has a body.
func claimsBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return len(response.TransferEncoding) > 0 || length != "" && length != "0"
}

// checkNames checks the names of the fields. net/http lets blanks through, as in a name with a blank before its
// colon: another reader may take such a field for the one without the blank.
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("the response has a field with the invalid name %q", name)
		}
	}
	return nil
}

// checkOldFraming checks that a response of HTTP 1.0, which knows no chunks, claims none: its framing is faulty
// (RFC 9112, section 6.1). net/http removes the field, so that it is looked for in the text of the head.
func checkOldFraming(response *http.Response, text []byte) error {
	if response.ProtoAtLeast(1, 1) || text == nil {
		return nil
	}
	_, header, err := readHead(textReader(text))
	if err != nil {
		return err
	}
	if len(header["Transfer-Encoding"]) > 0 {
		return errors.New("the response is of HTTP 1.0 and has a Transfer-Encoding")
	}
	return nil
}

// skipInformational returns what follows a number of informational responses in a text, or why they are not valid.
func skipInformational(text []byte, count int) ([]byte, error) {
	if count == 0 {
		return text, nil
	}
	reader := textReader(text)
	for range count {
		line, header, err := readHead(reader)
		if err != nil {
			return nil, err
		}
		version, _, _ := strings.Cut(line, " ")
		response := &http.Response{Proto: version, StatusCode: http.StatusProcessing, Header: header, TransferEncoding: header["Transfer-Encoding"]}
		response.ProtoMajor, response.ProtoMinor, _ = http.ParseHTTPVersion(version)
		if err := Head(response, nil); err != nil {
			return nil, err
		}
	}
	rest, err := io.ReadAll(reader.R)
	return rest, errors.Wrap(err, "read behind informational responses")
}

// textReader returns a reader of the heads in a text.
func textReader(text []byte) *textproto.Reader {
	return textproto.NewReader(bufio.NewReader(bytes.NewReader(text)))
}

// readHead reads a head with all of its fields.
func readHead(reader *textproto.Reader) (statusLine string, header http.Header, err error) {
	statusLine, err = reader.ReadLine()
	if err != nil {
		return "", nil, errors.Wrap(err, "read the status line again")
	}
	fields, err := reader.ReadMIMEHeader()
	return statusLine, http.Header(fields), errors.Wrap(err, "read the headers again")
}
