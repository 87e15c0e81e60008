package engine

import (
	"errors"
	"strings"
	"testing"
)

// FuzzStream feeds the client what a broken engine might send. A stream either
// ends with its last event or is an error.
func FuzzStream(f *testing.F) {
	f.Add(`{"request_id":"r","attempt":1,"index":0,"token":"a"}` + "\n" + `{"request_id":"r","attempt":1,"index":1,"finish_reason":"stop"}`)
	f.Add(`{"request_id":"r","index":-1,"token":"a"`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		var last Event
		err := readEvents(strings.NewReader(body), func(event Event) error {
			last = event
			return nil
		})
		if err == nil && last.FinishReason == "" {
			t.Fatal("stream without a last event was taken for whole")
		}
		if err != nil && !errors.Is(err, ErrBroken) {
			t.Fatalf("error is not ErrBroken: %v", err)
		}
	})
}
