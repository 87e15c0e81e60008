package peer

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/plankridge/plankridge/internal/dispatch"
	"github.com/plankridge/plankridge/internal/peer/peerpb"
	"github.com/plankridge/plankridge/internal/request"
)

// encodeSpec encodes the parts of a specification that are needed to render an answer.
// Prompts, bodies and headers stay with the owner.
func encodeSpec(spec request.Spec) ([]byte, error) {
	if spec.Model != nil {
		model := *spec.Model
		model.Prompt = ""
		model.Parameters = nil
		spec.Model = &model
	}
	if spec.Plain != nil {
		spec.Plain = &request.PlainRequest{Method: spec.Plain.Method, Path: spec.Plain.Path}
	}
	raw, err := json.Marshal(spec)
	return raw, eris.Wrap(err, "encode request specification")
}

func decodeSpec(raw []byte) (request.Spec, error) {
	var spec request.Spec
	err := json.Unmarshal(raw, &spec)
	return spec, eris.Wrap(err, "decode request specification")
}

func toWire(id request.ID, event dispatch.Event) *peerpb.AnswerEvent {
	wire := &peerpb.AnswerEvent{RequestId: string(id), Offset: int32(event.Offset), Token: event.Token}
	switch {
	case event.Moved:
		wire.Last = &peerpb.AnswerEvent_Moved{Moved: true}
	case event.Finish != nil:
		wire.Last = &peerpb.AnswerEvent_Finish{Finish: &peerpb.Finish{
			Reason:       event.Finish.Reason,
			PromptTokens: int32(event.Finish.PromptTokens),
			CachedTokens: int32(event.Finish.CachedTokens),
			OutputTokens: int32(event.Finish.OutputTokens),
		}}
	case event.Plain != nil:
		answer := &peerpb.PlainAnswer{Status: int32(event.Plain.Status), Body: event.Plain.Body}
		for name, values := range event.Plain.Header {
			answer.Headers = append(answer.Headers, &peerpb.Header{Name: name, Values: values})
		}
		wire.Last = &peerpb.AnswerEvent_Plain{Plain: answer}
	case event.Failure != nil:
		wire.Last = &peerpb.AnswerEvent_Failure{Failure: &peerpb.Failure{
			Outcome: string(event.Failure.Outcome),
			Detail:  event.Failure.Detail,
			Status:  int32(event.Failure.Status),
		}}
	}
	return wire
}

func fromWire(wire *peerpb.AnswerEvent) dispatch.Event {
	event := dispatch.Event{Offset: int(wire.GetOffset()), Token: wire.GetToken()}
	switch last := wire.GetLast().(type) {
	case *peerpb.AnswerEvent_Moved:
		event.Moved = last.Moved
	case *peerpb.AnswerEvent_Finish:
		event.Finish = &request.Finish{
			Reason:       last.Finish.GetReason(),
			PromptTokens: int(last.Finish.GetPromptTokens()),
			CachedTokens: int(last.Finish.GetCachedTokens()),
			OutputTokens: int(last.Finish.GetOutputTokens()),
		}
	case *peerpb.AnswerEvent_Plain:
		header := http.Header{}
		for _, h := range last.Plain.GetHeaders() {
			header[h.GetName()] = h.GetValues()
		}
		event.Plain = &request.PlainAnswer{Status: int(last.Plain.GetStatus()), Header: header, Body: last.Plain.GetBody()}
	case *peerpb.AnswerEvent_Failure:
		event.Failure = &request.Failure{
			Outcome: request.Outcome(last.Failure.GetOutcome()),
			Detail:  last.Failure.GetDetail(),
			Status:  int(last.Failure.GetStatus()),
		}
	}
	return event
}
