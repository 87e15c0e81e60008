package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/request"
)

// FuzzMessages decodes arbitrary messages from another daemon, and checks that what was
// decoded survives another round trip.
func FuzzMessages(f *testing.F) {
	finish := &request.Finish{Reason: "stop", OutputTokens: 3}
	for _, event := range []dispatch.Event{{Offset: 1, Token: "a"}, {Finish: finish}, {Moved: true},
		{Plain: &request.PlainAnswer{Status: 200, Body: []byte("x")}}, {Failure: &request.Failure{Outcome: request.OutcomeUnknown}}} {
		raw, err := proto.Marshal(toWire("r", event))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, []byte(`{"id":"a-b","kind":"plain"}`))
	}
	f.Fuzz(func(t *testing.T, rawEvent, rawSpec []byte) {
		if spec, err := decodeSpec(rawSpec); err == nil {
			if _, err := encodeSpec(spec); err != nil {
				t.Fatalf("decoded specification does not encode: %v", err)
			}
			_ = spec.ID.Tag()
		}
		var wire peerpb.AnswerEvent
		if proto.Unmarshal(rawEvent, &wire) != nil {
			return
		}
		event := fromWire(&wire)
		if again := fromWire(toWire("r", event)); again.IsLast() != event.IsLast() {
			t.Fatalf("%+v came back as %+v", event, again)
		}
	})
}
