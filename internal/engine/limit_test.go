package engine

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// repeatedText is a text that repeats until it has been read size times.
type repeatedText struct {
	begin, repeat string
	size, read    int
}

// Read implements io.Reader.
func (r *repeatedText) Read(p []byte) (int, error) {
	if r.read >= r.size {
		return 0, io.EOF
	}
	n := copy(p, r.begin)
	r.begin = r.begin[n:]
	for n < len(p) && n+len(r.repeat) <= len(p) {
		n += copy(p[n:], r.repeat)
	}
	r.read += n
	return n, nil
}

// TestEventWithoutEndIsNotReadOn guards against a daemon that runs out of memory because an engine sends an event without end.
func TestEventWithoutEndIsNotReadOn(t *testing.T) {
	for name, text := range map[string]repeatedText{
		"string": {begin: `{"text":"`, repeat: "x"},
		"digits": {begin: `{"index":`, repeat: "1"},
		"spaces": {repeat: " "},
		"nested": {repeat: "["},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			text.size = 16 * maxEventBytes
			err := readEvents(&text, func(Event) error { return nil })
			c.Check(errors.Is(err, ErrBroken), qt.IsTrue)
			c.Check(text.read <= maxEventBytes+4096, qt.IsTrue, qt.Commentf("%d bytes read", text.read))
		})
	}
}

// TestLongStreamIsReadToItsEnd guards against a limit on events that counts the whole stream.
func TestLongStreamIsReadToItsEnd(t *testing.T) {
	c := qt.New(t)
	event := `{"pad":"` + strings.Repeat("x", 1000) + "\"}\n"
	events := 0
	err := readEvents(strings.NewReader(strings.Repeat(event, 3*maxEventBytes/len(event))+`{"finish_reason":"stop"}`), func(Event) error { events++; return nil })
	c.Check(err, qt.IsNil)
	c.Check(events, qt.Equals, 3*maxEventBytes/len(event)+1)
}
