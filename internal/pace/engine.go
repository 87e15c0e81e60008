package pace

import (
	"math"
	"time"
)

// Initial coefficients, used for the first requests of a service without any observations. They are
// near the geometric mean of what engines reach. No request is refused because of a prediction from
// them.
const (
	// initialFirstEvent is the time to the first event without prefill, in seconds.
	initialFirstEvent = 0.04
	// initialPrefillToken is the prefill time of one token, in seconds. Engines prefill 5,000 to
	// 400,000 tokens per second.
	initialPrefillToken = 1.0 / 50_000
	// initialTokenPairs is the attention time for a million pairs of tokens, in seconds: a tenth of
	// the prefill time at 5,000 tokens.
	initialTokenPairs = 0.0004
	// initialCopySetup is the time to set up a copy of prompt parts from another engine, and
	// initialCopiedToken the time for each copied token, in seconds.
	initialCopySetup   = 0.01
	initialCopiedToken = 1.0 / 500_000
	// initialStep is the time for one more token of a stream, and initialStepPerStream the
	// additional time for each stream in the batch, in seconds. Steps take 3 to 30 ms.
	initialStep          = 0.01
	initialStepPerStream = 0.00005
	// initialOutputRatio is the ratio of generated tokens to the allowed maximum, and
	// initialHintRatio their ratio to the caller's own estimate.
	initialOutputRatio = 0.3
	initialHintRatio   = 1.0
)

// pairUnit is the number of token pairs per unit of the pairs term.
const pairUnit = 1e6

// Work is the work of an engine for an attempt before its first event.
type Work struct {
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// PrefillTokens is the number of prompt tokens that the engine must compute. CopiedTokens is
	// the number that it copies from another engine.
	PrefillTokens, CopiedTokens int
}

// terms returns the terms of the time to the first event. Each computed token attends to all tokens
// before it, so that the time depends on pairs of tokens as well as on tokens.
func (w Work) terms() Terms {
	prompt, cached := float64(w.PromptTokens), float64(max(0, w.PromptTokens-w.PrefillTokens))
	terms := Terms{1, float64(w.PrefillTokens), (prompt*prompt - cached*cached) / pairUnit}
	if w.CopiedTokens > 0 {
		terms[3], terms[4] = 1, float64(w.CopiedTokens)
	}
	return terms
}

// Engine holds the learned speed of the engines of one service. Times are in seconds. It is not
// safe for concurrent use.
type Engine struct {
	// First predicts the time to the first event on an engine without a queue.
	First Fit
	// Step predicts the time for one more token of a stream from the batch size.
	Step Fit
	// OutputRatio is the ratio of generated tokens to the allowed maximum. HintRatio is their ratio
	// to the caller's estimate, for requests that have one.
	OutputRatio Ratio
	HintRatio   Ratio
}

// AnswerSize is what the caller states about the size of the answer.
type AnswerSize struct {
	// MaxTokens is the largest allowed number of tokens. HintedTokens is the caller's own estimate,
	// or zero.
	MaxTokens, HintedTokens int
}

// NewEngine returns an Engine with initial coefficients. copyRate is the rate at which an engine
// copies prompt parts from another one, in tokens per second, as limited by its link. It is zero if
// unknown.
func NewEngine(copyRate float64) *Engine {
	copied := initialCopiedToken
	if copyRate > 0 {
		copied = 1 / copyRate
	}
	return &Engine{
		First:       NewFit(initialFirstEvent, initialPrefillToken, initialTokenPairs, initialCopySetup, copied),
		Step:        NewFit(initialStep, initialStepPerStream),
		OutputRatio: NewRatio(initialOutputRatio), HintRatio: NewRatio(initialHintRatio),
	}
}

// Calibrated reports whether there are enough observations to rely on the predicted time to the
// first event.
func (e *Engine) Calibrated() bool { return e.First.Calibrated() }

// FirstEvent returns the predicted time to the first event of an attempt on an engine without a
// queue.
func (e *Engine) FirstEvent(w Work) time.Duration { return seconds(e.First.Predict(w.terms())) }

// PrefillTime returns the predicted time that an engine spends on the prefill of an attempt.
func (e *Engine) PrefillTime(w Work) time.Duration {
	terms := w.terms()
	terms[0], terms[3], terms[4] = 0, 0, 0
	return seconds(e.First.Predict(terms))
}

// QueueTime returns the predicted prefill time of queued prompts with the given total of tokens.
// Pairs of tokens are not counted, because the sizes of the prompts are unknown.
func (e *Engine) QueueTime(tokens int) time.Duration {
	return seconds(e.First.Predict(Terms{1: float64(tokens)}))
}

// OutputTokens returns the predicted number of tokens of an answer, at least one.
func (e *Engine) OutputTokens(a AnswerSize) float64 {
	if a.HintedTokens > 0 {
		return max(1, float64(a.HintedTokens)*e.HintRatio.Value())
	}
	return max(1, float64(a.MaxTokens)*e.OutputRatio.Value())
}

// StreamTime returns the predicted duration of a stream after its first event, at a batch size.
func (e *Engine) StreamTime(a AnswerSize, batch int) time.Duration {
	return seconds(e.OutputTokens(a) * e.Step.Predict(Terms{1, float64(batch)}))
}

// StepTime returns the predicted time for a number of tokens of a stream, at a batch size.
func (e *Engine) StepTime(tokens, batch int) time.Duration {
	return seconds(float64(tokens) * e.Step.Predict(Terms{1, float64(batch)}))
}

// ObserveFirst records the time to the first event of an attempt.
func (e *Engine) ObserveFirst(w Work, took time.Duration) { e.First.Observe(took.Seconds(), w.terms()) }

// ObserveStream records the duration of a complete stream after its first event, with its number of
// tokens and the batch size.
func (e *Engine) ObserveStream(tokens int, a AnswerSize, batch int, took time.Duration) {
	e.OutputRatio.Observe(float64(tokens), float64(a.MaxTokens))
	e.HintRatio.Observe(float64(tokens), float64(a.HintedTokens))
	if tokens > 1 {
		e.Step.Observe(took.Seconds()/float64(tokens-1), Terms{1, float64(batch)})
	}
}

// MergeEstimates merges other daemons' estimates into the fits and ratios that have too few
// observations of their own.
func (e *Engine) MergeEstimates(others EngineEstimates) {
	merge := func(own *Fit, others Estimate) {
		if !own.Calibrated() {
			own.MergeEstimate(others)
		}
	}
	merge(&e.First, others.First)
	merge(&e.Step, others.Step)
	if e.OutputRatio.Samples < calibrationSamples {
		e.OutputRatio.MergeEstimate(others.OutputRatio)
	}
	if e.HintRatio.Samples < calibrationSamples {
		e.HintRatio.MergeEstimate(others.HintRatio)
	}
}

// maxPrediction limits predicted times, so that no coefficient overflows a time.Duration.
const maxPrediction = time.Hour

func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxPrediction.Seconds() {
		return maxPrediction
	}
	return time.Duration(s * float64(time.Second))
}
