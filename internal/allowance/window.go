package allowance

import "time"

const (
	// slotCount is the number of parts in which a window is counted. What was used leaves
	// the window with the whole part that it was counted in, so that it counts for up to
	// 1/64 longer than it must: 125 ms of a window of 8 s.
	slotCount = 64
	// spanCount is the number of parts in which a window's use is told to daemons that
	// start. In four parts what was told left the window in steps of 2 s, for which callers
	// waited that then came at once.
	spanCount = 8
)

// window is what was used in the last while, in parts of equal length.
type window struct {
	slotWidth time.Duration
	// origin is a time before all that is counted. Parts are numbered from it on, by the
	// steady clock: were they numbered by the time of day, a clock that is put forward by
	// 2 s would forget a quarter of a window of 8 s.
	origin time.Time
	// newest is the number of the part that is being filled.
	newest int64
	slots  [slotCount + 1]float64
}

// newWindow returns an empty window of a length for what is used from a time on, or was
// used in the window before it.
func newWindow(length time.Duration, begin time.Time) window {
	w := window{slotWidth: length / slotCount, origin: begin.Add(-2 * length)}
	w.newest = w.slotNumber(begin)
	return w
}

func (w *window) slotNumber(at time.Time) int64 { return int64(at.Sub(w.origin) / w.slotWidth) }

// advance lets what is older than the window go.
func (w *window) advance(now time.Time) {
	number := w.slotNumber(now)
	if number-w.newest > slotCount {
		w.slots = [slotCount + 1]float64{}
		w.newest = number
		return
	}
	for w.newest < number {
		w.newest++
		w.slots[w.newest%(slotCount+1)] = 0
	}
}

// slotAt returns the part in which a time is counted, or nil if it has left the window.
func (w *window) slotAt(at time.Time) *float64 {
	number := min(w.slotNumber(at), w.newest)
	if number < w.newest-slotCount {
		return nil
	}
	return &w.slots[number%(slotCount+1)]
}

// add counts what was used at a time.
func (w *window) add(tokens float64, at time.Time) {
	if part := w.slotAt(at); part != nil {
		*part += tokens
	}
}

// remove takes back what was counted at a time.
func (w *window) remove(tokens float64, at time.Time) {
	if part := w.slotAt(at); part != nil {
		*part = max(0, *part-tokens)
	}
}

// removeNewest takes tokens out of the newest parts, where it is not known when they were
// counted.
func (w *window) removeNewest(tokens float64) {
	for number := w.newest; number >= w.newest-slotCount && tokens > 0; number-- {
		part := &w.slots[number%(slotCount+1)]
		taken := min(*part, tokens)
		*part -= taken
		tokens -= taken
	}
}

// sum returns what is in the window.
func (w *window) sum() float64 {
	total := 0.0
	for _, part := range w.slots {
		total += part
	}
	return total
}

// sumBefore returns what is in the window from before a moment.
func (w *window) sumBefore(at time.Time) float64 {
	total := 0.0
	for number := w.newest - slotCount; number < min(w.slotNumber(at), w.newest+1); number++ {
		total += w.slots[number%(slotCount+1)]
	}
	return total
}

// timeToFree returns how long it takes until so many tokens have left the window.
func (w *window) timeToFree(tokens float64, now time.Time) time.Duration {
	for number := w.newest - slotCount; number <= w.newest; number++ {
		tokens -= w.slots[number%(slotCount+1)]
		if tokens <= 0 {
			leaves := w.origin.Add(time.Duration(number+slotCount+1) * w.slotWidth)
			return leaves.Sub(now)
		}
	}
	return w.slotWidth * (slotCount + 1)
}

// Usage is what was used in each eighth of a window, the oldest first, in tokens.
type Usage [spanCount]float64

// Sum returns what was used in the window.
func (u Usage) Sum() float64 {
	sum := 0.0
	for _, tokens := range u {
		sum += tokens
	}
	return sum
}

// usage returns what is in the window by spans.
func (w *window) usage() (lately Usage) {
	for age := range int64(slotCount + 1) {
		span := max(0, spanCount-1-age*spanCount/slotCount)
		lately[span] += w.slots[(w.newest-age)%(slotCount+1)]
	}
	return lately
}

// addUsage counts a use that was told at a moment, as if each span's had been used at its
// end.
func (w *window) addUsage(use Usage, told time.Time) {
	for span, tokens := range use {
		age := time.Duration(spanCount-1-span) * w.slotWidth * slotCount / spanCount
		w.add(tokens, told.Add(-age))
	}
}
