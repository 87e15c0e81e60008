package pace

import (
	"math"
	"time"
)

// Start values, for the first requests of a service that nobody has seen yet. They lie
// in the middle, in logarithms, of what engines do; a request is not refused on them.
const (
	// startFirst is the time to a first event besides reading, in seconds.
	startFirst = 0.04
	// startToken is the time to read a prompt token: engines read 5,000 to 400,000 a
	// second.
	startToken = 1.0 / 50_000
	// startPair is the time for a million pairs of tokens: the tenth part of reading at
	// 5,000 tokens.
	startPair = 0.0004
	// startCopy is the time to set up a copy of prompt parts from another engine, and
	// startCopied that for each token copied.
	startCopy   = 0.01
	startCopied = 1.0 / 500_000
	// startStep is the time for one more token of a stream, and startBeside what each
	// other stream in the batch adds to it: steps take 3 to 30 ms.
	startStep   = 0.01
	startBeside = 0.00005
	// startMade is the number of tokens made for each that the caller allows, and
	// startHinted that for each that it expects.
	startMade   = 0.3
	startHinted = 1.0
)

// million is the unit of pairs of tokens.
const million = 1e6

// Work is what an attempt asks of an engine before its first event.
type Work struct {
	// Prompt is the size of the prompt, in tokens.
	Prompt int
	// Unread are those of its tokens that the engine has to read, Copied those that it
	// copies from another engine.
	Unread, Copied int
}

// terms are what the time to the first event is made of. Each token that is read looks
// at all before it, so that pairs of tokens count beside tokens.
func (w Work) terms() Terms {
	prompt, known := float64(w.Prompt), float64(max(0, w.Prompt-w.Unread))
	terms := Terms{1, float64(w.Unread), (prompt*prompt - known*known) / million}
	if w.Copied > 0 {
		terms[3], terms[4] = 1, float64(w.Copied)
	}
	return terms
}

// Engine is what was learned of the engines of one service. Times are in seconds.
type Engine struct {
	// First is the time to the first event on an engine without a queue.
	First Fit
	// Step is the time for one more token of a stream, by the size of the batch.
	Step Fit
	// Made is the number of tokens of an answer by what the caller allows, and Hinted by
	// what it expects, where it says so.
	Made   Ratio
	Hinted Ratio
}

// Answer is what a caller says of the answer's size, in tokens.
type Answer struct {
	// Allowed is the most that the answer may have. Hinted is the caller's own estimate,
	// or zero.
	Allowed, Hinted int
}

// NewEngine returns what is taken to hold before anything was seen. copyRate is in
// tokens per second that an engine copies from another one by the speed of its link, or
// zero where that is not known.
func NewEngine(copyRate float64) *Engine {
	copied := startCopied
	if copyRate > 0 {
		copied = 1 / copyRate
	}
	return &Engine{
		First: NewFit(startFirst, startToken, startPair, startCopy, copied),
		Step:  NewFit(startStep, startBeside),
		Made:  NewRatio(startMade), Hinted: NewRatio(startHinted),
	}
}

// Known reports whether the time to a first event can be relied on.
func (e *Engine) Known() bool { return e.First.Known() }

// FirstEvent returns the time to the first event of an attempt on an engine without a
// queue.
func (e *Engine) FirstEvent(w Work) time.Duration { return seconds(e.First.Predict(w.terms())) }

// Read returns the time for which an attempt keeps the engine reading.
func (e *Engine) Read(w Work) time.Duration {
	terms := w.terms()
	terms[0], terms[3], terms[4] = 0, 0, 0
	return seconds(e.First.Predict(terms))
}

// Queue returns the time for which prompts with so many tokens to be read keep the
// engine reading, sizes unknown.
func (e *Engine) Queue(tokens int) time.Duration {
	return seconds(e.First.Predict(Terms{1: float64(tokens)}))
}

// Tokens returns the expected number of tokens of an answer.
func (e *Engine) Tokens(a Answer) float64 {
	if a.Hinted > 0 {
		return max(1, float64(a.Hinted)*e.Hinted.Value())
	}
	return max(1, float64(a.Allowed)*e.Made.Value())
}

// Stream returns how long a stream lasts after its first event in a batch of so many.
func (e *Engine) Stream(a Answer, batch int) time.Duration {
	return seconds(e.Tokens(a) * e.Step.Predict(Terms{1, float64(batch)}))
}

// SawFirst takes over how long a first event took.
func (e *Engine) SawFirst(w Work, took time.Duration) { e.First.Observe(took.Seconds(), w.terms()) }

// SawStream takes over how long a whole stream of so many tokens lasted after its first
// event.
func (e *Engine) SawStream(tokens int, a Answer, batch int, took time.Duration) {
	e.Made.Observe(float64(tokens), float64(a.Allowed))
	e.Hinted.Observe(float64(tokens), float64(a.Hinted))
	if tokens > 1 {
		e.Step.Observe(took.Seconds()/float64(tokens-1), Terms{1, float64(batch)})
	}
}

// Learn takes over what others have learned, where this daemon has seen too little.
func (e *Engine) Learn(others EngineFigures) {
	learn := func(own *Fit, others Figures) {
		if !own.Known() {
			own.Learn(others)
		}
	}
	learn(&e.First, others.First)
	learn(&e.Step, others.Step)
	if e.Made.Seen < knownAfter {
		e.Made.Learn(others.Made)
	}
	if e.Hinted.Seen < knownAfter {
		e.Hinted.Learn(others.Hinted)
	}
}

// longest bounds a predicted time, so that no coefficient overflows a duration.
const longest = time.Hour

func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
