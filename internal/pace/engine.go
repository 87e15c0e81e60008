package pace

import (
	"math"
	"time"
)

// Start values, for the first requests of a service that nobody has seen yet. They lie
// in the middle, in logarithms, of what engines do; a request is not refused on them.
const (
	// initialFirstEvent is the time to a first event besides reading, in seconds.
	initialFirstEvent = 0.04
	// initialPrefillToken is the time to read a prompt token: engines read 5,000 to 400,000 a
	// second.
	initialPrefillToken = 1.0 / 50_000
	// initialTokenPairs is the time for a million pairs of tokens: the tenth part of reading at
	// 5,000 tokens.
	initialTokenPairs = 0.0004
	// initialCopySetup is the time to set up a copy of prompt parts from another engine, and
	// initialCopiedToken that for each token copied.
	initialCopySetup   = 0.01
	initialCopiedToken = 1.0 / 500_000
	// initialStep is the time for one more token of a stream, and initialStepPerStream what each
	// other stream in the batch adds to it: steps take 3 to 30 ms.
	initialStep          = 0.01
	initialStepPerStream = 0.00005
	// initialOutputRatio is the number of tokens made for each that the caller allows, and
	// initialHintRatio that for each that it expects.
	initialOutputRatio = 0.3
	initialHintRatio   = 1.0
)

// pairUnit is the unit of pairs of tokens.
const pairUnit = 1e6

// Work is what an attempt asks of an engine before its first event.
type Work struct {
	// PromptTokens is the size of the prompt, in tokens.
	PromptTokens int
	// PrefillTokens are those of its tokens that the engine has to read, Copied those that it
	// copies from another engine.
	PrefillTokens, CopiedTokens int
}

// terms are what the time to the first event is made of. Each token that is read looks
// at all before it, so that pairs of tokens count beside tokens.
func (w Work) terms() Terms {
	prompt, known := float64(w.PromptTokens), float64(max(0, w.PromptTokens-w.PrefillTokens))
	terms := Terms{1, float64(w.PrefillTokens), (prompt*prompt - known*known) / pairUnit}
	if w.CopiedTokens > 0 {
		terms[3], terms[4] = 1, float64(w.CopiedTokens)
	}
	return terms
}

// Engine is what was learned of the engines of one service. Times are in seconds.
type Engine struct {
	// First is the time to the first event on an engine without a queue.
	First Fit
	// Step is the time for one more token of a stream, by the size of the batch.
	Step Fit
	// OutputRatio is the number of tokens of an answer by what the caller allows, and Hinted by
	// what it expects, where it says so.
	OutputRatio Ratio
	HintRatio   Ratio
}

// AnswerSize is what a caller says of the answer's size, in tokens.
type AnswerSize struct {
	// MaxTokens is the most that the answer may have. Hinted is the caller's own estimate,
	// or zero.
	MaxTokens, HintedTokens int
}

// NewEngine returns what is taken to hold before anything was seen. copyRate is in
// tokens per second that an engine copies from another one by the speed of its link, or
// zero where that is not known.
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

// Calibrated reports whether the time to a first event can be relied on.
func (e *Engine) Calibrated() bool { return e.First.Calibrated() }

// FirstEvent returns the time to the first event of an attempt on an engine without a
// queue.
func (e *Engine) FirstEvent(w Work) time.Duration { return seconds(e.First.Predict(w.terms())) }

// PrefillTime returns the time for which an attempt keeps the engine reading.
func (e *Engine) PrefillTime(w Work) time.Duration {
	terms := w.terms()
	terms[0], terms[3], terms[4] = 0, 0, 0
	return seconds(e.First.Predict(terms))
}

// QueueTime returns the time for which prompts with so many tokens to be read keep the
// engine reading, sizes unknown.
func (e *Engine) QueueTime(tokens int) time.Duration {
	return seconds(e.First.Predict(Terms{1: float64(tokens)}))
}

// OutputTokens returns the expected number of tokens of an answer.
func (e *Engine) OutputTokens(a AnswerSize) float64 {
	if a.HintedTokens > 0 {
		return max(1, float64(a.HintedTokens)*e.HintRatio.Value())
	}
	return max(1, float64(a.MaxTokens)*e.OutputRatio.Value())
}

// StreamTime returns how long a stream lasts after its first event in a batch of so many.
func (e *Engine) StreamTime(a AnswerSize, batch int) time.Duration {
	return seconds(e.OutputTokens(a) * e.Step.Predict(Terms{1, float64(batch)}))
}

// ObserveFirst takes over how long a first event took.
func (e *Engine) ObserveFirst(w Work, took time.Duration) { e.First.Observe(took.Seconds(), w.terms()) }

// ObserveStream takes over how long a whole stream of so many tokens lasted after its first
// event.
func (e *Engine) ObserveStream(tokens int, a AnswerSize, batch int, took time.Duration) {
	e.OutputRatio.Observe(float64(tokens), float64(a.MaxTokens))
	e.HintRatio.Observe(float64(tokens), float64(a.HintedTokens))
	if tokens > 1 {
		e.Step.Observe(took.Seconds()/float64(tokens-1), Terms{1, float64(batch)})
	}
}

// MergeEstimates takes over what others have learned, where this daemon has seen too little.
func (e *Engine) MergeEstimates(others EngineEstimates) {
	learn := func(own *Fit, others Estimate) {
		if !own.Calibrated() {
			own.MergeEstimate(others)
		}
	}
	learn(&e.First, others.First)
	learn(&e.Step, others.Step)
	if e.OutputRatio.Samples < calibrationSamples {
		e.OutputRatio.MergeEstimate(others.OutputRatio)
	}
	if e.HintRatio.Samples < calibrationSamples {
		e.HintRatio.MergeEstimate(others.HintRatio)
	}
}

// maxPrediction bounds a predicted time, so that no coefficient overflows a duration.
const maxPrediction = time.Hour

func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= maxPrediction.Seconds() {
		return maxPrediction
	}
	return time.Duration(s * float64(time.Second))
}
