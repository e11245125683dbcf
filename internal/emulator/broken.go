package emulator

import (
	"fmt"
	"strings"
)

// forgedBody is the body of a response that a server has not made, but that stands in the bytes it has sent.
const forgedBody = "forged"

// ForgedResponse returns the text of a response that would be used, with some header lines.
func ForgedResponse(headers string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(forgedBody), forgedBody)
}

// BrokenLines returns header lines whose name is none, or whose value holds a control byte.
func BrokenLines() map[string]string {
	return map[string]string{
		"blank in a name":      "X Bad: 1",
		"blank behind a name":  "X-Bad : 1",
		"blanks around a name": "X : 1",
		"tab behind a name":    "X-Bad\t: 1",
		"tab in a name":        "X\tBad: 1",
		"NUL in a name":        "X\x00Bad: 1",
		"DEL in a name":        "X\x7fBad: 1",
		"SOH before a name":    "\x01X-Bad: 1",
		"parenthesis":          "X(Bad: 1",
		"byte above ASCII":     "X\xe9Bad: 1",
		"no name":              ": 1",
		"no colon":             "X-Bad",
		"NUL in a value":       "X-Bad: a\x00b",
		"return in a value":    "X-Bad: a\rb",
	}
}

// BrokenResponses returns the texts of responses that are no answers in HTTP, with some header lines, by what is
// wrong with them. Some hold the text of ForgedResponse.
func BrokenResponses(headers string) map[string]string {
	responses := make(map[string]string)
	addBrokenStatuses(responses, headers)
	addBrokenVersions(responses, headers)
	addBrokenFraming(responses, headers)
	for name, line := range BrokenLines() {
		responses[name+", first"] = wrongResponse("HTTP/1.1 200 X\r\n"+line, headers)
		responses[name+", last"] = wrongResponse("HTTP/1.1 200 X", headers+line+"\r\n")
		responses[name+", 503"] = wrongResponse("HTTP/1.1 503 X", headers+line+"\r\n")
		responses[name+", in 103"] = "HTTP/1.1 103 X\r\n" + line + "\r\n\r\n" + ForgedResponse(headers)
	}
	return responses
}

// wrongResponse returns a response with a length.
func wrongResponse(statusLine, headers string) string {
	return statusLine + "\r\n" + headers + "Content-Length: 5\r\n\r\nwrong"
}

// withForgedBody returns a response whose body is the text of another one.
func withForgedBody(statusLine, headers string) string {
	forged := ForgedResponse(headers)
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, headers, len(forged), forged)
}

func addBrokenStatuses(responses map[string]string, headers string) {
	for _, status := range []string{"000", "001", "020", "099"} {
		line := "HTTP/1.1 " + status + " X"
		responses["status "+status] = wrongResponse(line, headers)
		responses["status "+status+", the body is an answer"] = withForgedBody(line, headers)
		responses["status "+status+", no body"] = line + "\r\n" + headers + "\r\n" + ForgedResponse(headers)
	}
	for _, status := range []string{"100", "101", "103", "199"} {
		responses["status "+status+", the body is an answer"] = withForgedBody("HTTP/1.1 "+status+" X", headers)
	}
	responses["status 199, chunks"] = "HTTP/1.1 199 X\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + ForgedResponse(headers)
	responses["status 101"] = "HTTP/1.1 101 X\r\n" + headers + "Upgrade: h2c\r\n\r\n" + ForgedResponse(headers)
	for _, status := range []string{"+20", "2x0", "20", "2000", "-01", "", "200\x00"} {
		responses[fmt.Sprintf("status %q", status)] = wrongResponse("HTTP/1.1 "+status+" X", headers)
	}
}

func addBrokenVersions(responses map[string]string, headers string) {
	for _, version := range []string{"9.9", "2.0", "0.9", "3.1"} {
		responses["HTTP "+version] = wrongResponse("HTTP/"+version+" 200 X", headers)
		responses["HTTP "+version+", informational"] = "HTTP/" + version + " 103 X\r\n\r\n" + ForgedResponse(headers)
	}
	for _, version := range []string{"HTTP/1.x", "HTTP/11", "http/1.1", "HTTP/1.1.1", "ICY"} {
		responses["version "+version] = wrongResponse(version+" 200 X", headers)
	}
}

func addBrokenFraming(responses map[string]string, headers string) {
	const chunks = "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"
	for name, line := range map[string]string{
		"blank behind Content-Length":    "Content-Length : 5",
		"blank in Content-Length":        "Content Length: 5",
		"blank behind Transfer-Encoding": "Transfer-Encoding : chunked",
		"blank in Transfer-Encoding":     "Transfer Encoding: chunked",
	} {
		responses[name] = "HTTP/1.1 200 X\r\n" + headers + line + chunks
	}
	const chunked = "Transfer-Encoding: chunked"
	responses["HTTP 1.0, chunks"] = "HTTP/1.0 200 X\r\n" + headers + chunked + chunks
	responses["HTTP 1.0, chunks and length"] = "HTTP/1.0 200 X\r\n" + headers + "Content-Length: 15\r\ntransfer-encoding:chunked" + chunks
	responses["HTTP 1.0, chunks, first"] = "HTTP/1.0 200 X\r\n" + chunked + "\r\n" + headers + "X-Last: 1" + chunks
	responses["HTTP 1.0, 500, chunks"] = "HTTP/1.0 500 X\r\n" + headers + chunked + chunks
}

// UnusualResponse is a response that few servers send, but that is valid.
type UnusualResponse struct {
	// Text is what the server sends.
	Text   string
	Status int
	// Name and Value are a field of the response; the name is empty if there is nothing to look for.
	Name, Value string
	Body        string
}

// UnusualResponses returns such responses with some header lines, by what is unusual.
func UnusualResponses(headers string) map[string]UnusualResponse {
	const body = "whole"
	framed := headers + "Content-Length: 5\r\n\r\n" + body
	withField := func(line, name, value string) UnusualResponse {
		return UnusualResponse{"HTTP/1.1 200 X\r\n" + line + "\r\n" + framed, 200, name, value, body}
	}
	const token = "A!#$%&'*+-.^_`|~9"
	responses := map[string]UnusualResponse{
		"all bytes of a token":   withField(token+": 1", token, "1"),
		"empty value":            withField("X-Empty:", "X-Empty", ""),
		"value above ASCII":      withField("X-Text: caf\xe9", "X-Text", "caf\xe9"),
		"tab in a value":         withField("X-Text: a\tb", "X-Text", "a\tb"),
		"no blank behind colon":  withField("X-Text:a", "X-Text", "a"),
		"folded line":            withField("X-Text: a\r\n b", "X-Text", "a b"),
		"103 with fields":        {"HTTP/1.1 103 X\r\nLink: </a>\r\nX-Early: 1\r\n\r\nHTTP/1.1 200 X\r\n" + framed, 200, "", "", body},
		"100 with a length of 0": {"HTTP/1.1 100 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\n" + framed, 200, "", "", body},
		"HTTP 1.0":               {"HTTP/1.0 200 X\r\n" + framed, 200, "", "", body},
		"HTTP 1.2":               {"HTTP/1.2 200 X\r\n" + framed, 200, "", "", body},
		"no reason":              {"HTTP/1.1 200\r\n" + framed, 200, "", "", body},
		"lines end without CR":   {"HTTP/1.1 200 X\n" + strings.ReplaceAll(framed, "\r", ""), 200, "", "", body},
	}
	for _, status := range []int{299, 600, 999} {
		responses[fmt.Sprintf("status %d", status)] = UnusualResponse{fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, framed), status, "", "", body}
	}
	return responses
}
