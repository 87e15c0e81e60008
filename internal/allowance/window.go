package allowance

import "time"

const (
	// slots is the number of parts in which a window is counted. What was used leaves
	// the window with the whole part that it was counted in, so that it counts for up to
	// 1/64 longer than it must: 125 ms of a window of 8 s.
	slots = 64
	// quarters is the number of parts in which a window's use is told to daemons that
	// start.
	quarters = 4
)

// window is what was used in the last while, in parts of equal length.
type window struct {
	width time.Duration
	// newest is the number of the part that is being filled, since the start of 1970.
	newest int64
	parts  [slots + 1]float64
}

func newWindow(length time.Duration) window { return window{width: length / slots} }

func (w *window) number(at time.Time) int64 { return at.UnixNano() / int64(w.width) }

// advance lets what is older than the window go.
func (w *window) advance(now time.Time) {
	number := w.number(now)
	if number-w.newest > slots {
		w.parts = [slots + 1]float64{}
		w.newest = number
		return
	}
	for w.newest < number {
		w.newest++
		w.parts[w.newest%(slots+1)] = 0
	}
}

// add counts what was used at a moment that is in the window.
func (w *window) add(tokens float64, at time.Time) {
	w.parts[min(w.number(at), w.newest)%(slots+1)] += tokens
}

// takeBack takes tokens out of the newest parts.
func (w *window) takeBack(tokens float64) {
	for number := w.newest; number >= w.newest-slots && tokens > 0; number-- {
		part := &w.parts[number%(slots+1)]
		taken := min(*part, tokens)
		*part -= taken
		tokens -= taken
	}
}

// sum returns what is in the window.
func (w *window) sum() float64 {
	total := 0.0
	for _, part := range w.parts {
		total += part
	}
	return total
}

// before returns what is in the window from before a moment.
func (w *window) before(at time.Time) float64 {
	total := 0.0
	for number := w.newest - slots; number < min(w.number(at), w.newest+1); number++ {
		total += w.parts[number%(slots+1)]
	}
	return total
}

// untilGone returns how long it takes until so many tokens have left the window.
func (w *window) untilGone(tokens float64, now time.Time) time.Duration {
	for number := w.newest - slots; number <= w.newest; number++ {
		tokens -= w.parts[number%(slots+1)]
		if tokens <= 0 {
			leaves := (number + slots + 1) * int64(w.width)
			return time.Duration(leaves - now.UnixNano())
		}
	}
	return w.width * (slots + 1)
}

// Use is what was used in each quarter of a window, the oldest first, in tokens.
type Use [quarters]float64

// lately returns what is in the window by quarters.
func (w *window) lately() (lately Use) {
	for age := range int64(slots + 1) {
		quarter := max(0, quarters-1-age*quarters/slots)
		lately[quarter] += w.parts[(w.newest-age)%(slots+1)]
	}
	return lately
}

// fill counts a use that was told at a moment, as if each quarter's had been used at its
// end.
func (w *window) fill(use Use, told time.Time) {
	for quarter, tokens := range use {
		age := time.Duration(quarters-1-quarter) * w.width * slots / quarters
		if at := told.Add(-age); w.number(at) >= w.newest-slots {
			w.add(tokens, at)
		}
	}
}
