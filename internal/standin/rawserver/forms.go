package rawserver

import (
	"fmt"
	"strings"
)

// Form is a response that a client may get.
type Form struct {
	Name string
	Text string
}

// answer is the body of the responses below. It is valid JSON for clients that expect that.
const answer = `{"a":1}`

// response returns a response with a status line, header lines and a body with a length.
func response(statusLine, fields, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
}

// InvalidHeads returns responses whose heads are not those of an HTTP/1.1 response. fields are header lines that
// a sound response would have, and ok is a sound response.
func InvalidHeads(fields, ok string) []Form {
	forms := []Form{
		{"status 000 and a body like a response", response("HTTP/1.1 000 Bad", fields, ok)},
		{"status 099 and a body like a response", response("HTTP/1.1 099 Bad", fields, ok)},
		{"status +20 and a body like a response", response("HTTP/1.1 +20 Bad", fields, ok)},
		{"status 000 before a response", "HTTP/1.1 000 Bad\r\n" + fields + "\r\n" + ok},
		{"status 000 without a length", "HTTP/1.1 000 Bad\r\n" + fields + "\r\n" + answer},
		{"protocol switch before a response", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + fields + "\r\n" + ok},
		{"blank before the colon of a length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 3\r\n\r\n" + answer},
		{"blank before the colon of a coding", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n7\r\n" + answer + "\r\n0\r\n\r\n"},
		{"blank in a folded name", "HTTP/1.1 200 OK\r\n" + fields + "Content-\r\n Length: 3\r\n\r\n" + answer},
		{"interim response with a blank in a name", "HTTP/1.1 100 Continue\r\nA b: c\r\n\r\n" + ok},
		{"first line that begins with a blank", response("HTTP/1.1 200 OK\r\n A: b", fields, answer)},
		{"line without a colon", response("HTTP/1.1 200 OK\r\nA", fields, answer)},
		{"empty name", response("HTTP/1.1 200 OK\r\n: b", fields, answer)},
		{"two lengths", response("HTTP/1.1 200 OK\r\nContent-Length: 3", fields, answer)},
		{"noise", strings.Repeat("\x00noise\n", 20)},
	}
	for _, status := range []string{"000", "099", "+20", "-20", "20", "2000", "2 0", "600", "999"} {
		forms = append(forms, Form{"status " + status, response("HTTP/1.1 "+status+" Bad", fields, answer)})
	}
	for _, name := range []string{"A b", "A ", "A\t", "A\x00b", "A\x01b", "A\x7fb", "A\rb", "A\x80b", "A(b"} {
		forms = append(forms, Form{fmt.Sprintf("name %q", name), response("HTTP/1.1 200 OK\r\n"+name+": c", fields, answer)})
	}
	for _, value := range []string{"a\x00b", "a\x01b", "a\x7fb", "a\rb"} {
		forms = append(forms, Form{fmt.Sprintf("value %q", value), response("HTTP/1.1 200 OK\r\nA: "+value, fields, answer)})
		forms = append(forms, Form{fmt.Sprintf("reason phrase %q", value), response("HTTP/1.1 200 "+value, fields, answer)})
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/11", "HTTP 1.1", "http/1.1", "ICY"} {
		forms = append(forms, Form{"version " + version, response(version+" 200 OK", fields, answer)})
	}
	return forms
}

// CutHeads returns beginnings of a sound response that end before the empty line after its head.
func CutHeads(fields string) []Form {
	head := "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\nA: b\r\n\r\n"
	cuts := []string{"HTTP/1", "200", "OK", "\r", "\n", "Content-", "Content-Length:", "Content-Length: 0", "Content-Length: 0\r", "Content-Length: 0\r\n", "A: b", "A: b\r", "A: b\r\n", "A: b\r\n\r"}
	var forms []Form
	for _, cut := range cuts {
		end := strings.Index(head, cut) + len(cut)
		forms = append(forms, Form{fmt.Sprintf("cut after %q", cut), head[:end]})
		forms = append(forms, Form{fmt.Sprintf("interim response, then cut after %q", cut), "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head[:end]})
	}
	return forms
}

// SoundForm is a response that a client has to accept, with its status and body.
type SoundForm struct {
	Form
	Status int
	Body   string
}

// SoundHeads returns responses whose heads are unusual and valid.
func SoundHeads(fields string) []SoundForm {
	sound := func(name string, status int, text string) SoundForm {
		return SoundForm{Form{name, text}, status, answer}
	}
	return []SoundForm{
		sound("interim responses", 200, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+response("HTTP/1.1 200 OK", fields, answer)),
		sound("no reason phrase", 200, response("HTTP/1.1 200 ", fields, answer)),
		sound("status line that ends after the status", 200, response("HTTP/1.1 200", fields, answer)),
		sound("reason phrase with bytes beyond ASCII", 200, response("HTTP/1.1 200 \xe4\tb", fields, answer)),
		sound("folded value", 200, response("HTTP/1.1 200 OK\r\nA: b\r\n c", fields, answer)),
		sound("value with bytes beyond ASCII", 200, response("HTTP/1.1 200 OK\r\nA: \xe4\tb", fields, answer)),
		sound("name of all allowed bytes", 200, response("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b", fields, answer)),
		sound("version 1.0", 200, response("HTTP/1.0 200 OK", fields, answer)),
		sound("lines that end with a line feed", 200, strings.ReplaceAll(response("HTTP/1.1 200 OK", fields, answer), "\r\n", "\n")),
		sound("status 299", 299, response("HTTP/1.1 299 Other", fields, answer)),
		sound("status 599", 599, response("HTTP/1.1 599 Other", fields, answer)),
	}
}
