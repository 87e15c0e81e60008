package allowance

import "time"

const (
	// slotCount is the number of slots in which a window is counted. Tokens leave the window
	// together with their whole slot, so they count for up to 1/64 of the window longer than
	// necessary: 125 ms for a window of 8 s.
	slotCount = 64
	// spanCount is the number of spans in which the usage of a window is passed to daemons that
	// start. With four spans the usage left a window of 8 s in steps of 2 s, and the callers that
	// had waited for a step came all at once.
	spanCount = 8
)

// window is a sliding window of the tokens used, in slots of equal length.
type window struct {
	slotWidth time.Duration
	// origin is a time before everything in the window. Slots are numbered from it by the monotonic
	// clock. With numbers from the wall clock, setting the clock forward by 2 s would drop a
	// quarter of a window of 8 s.
	origin time.Time
	// newest is the number of the current slot.
	newest int64
	slots  [slotCount + 1]float64
}

// newWindow returns an empty window that can count usage from one length before begin.
func newWindow(length time.Duration, begin time.Time) window {
	w := window{slotWidth: length / slotCount, origin: begin.Add(-2 * length)}
	w.newest = w.slotNumber(begin)
	return w
}

func (w *window) length() time.Duration { return w.slotWidth * slotCount }

func (w *window) slotNumber(at time.Time) int64 { return int64(at.Sub(w.origin) / w.slotWidth) }

// advance drops the slots that are older than the window.
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

// slotAt returns the slot for a time, or nil if it has left the window.
func (w *window) slotAt(at time.Time) *float64 {
	number := min(w.slotNumber(at), w.newest)
	if number < w.newest-slotCount {
		return nil
	}
	return &w.slots[number%(slotCount+1)]
}

// add counts tokens used at a time.
func (w *window) add(tokens float64, at time.Time) {
	if slot := w.slotAt(at); slot != nil {
		*slot += tokens
	}
}

// remove subtracts tokens that were counted at a time.
func (w *window) remove(tokens float64, at time.Time) {
	if slot := w.slotAt(at); slot != nil {
		*slot = max(0, *slot-tokens)
	}
}

// removeNewest subtracts tokens from the newest slots, for use when the time they were counted at
// is unknown.
func (w *window) removeNewest(tokens float64) {
	for number := w.newest; number >= w.newest-slotCount && tokens > 0; number-- {
		slot := &w.slots[number%(slotCount+1)]
		taken := min(*slot, tokens)
		*slot -= taken
		tokens -= taken
	}
}

// sum returns the tokens in the window.
func (w *window) sum() float64 {
	total := 0.0
	for _, slot := range w.slots {
		total += slot
	}
	return total
}

// sumBefore returns the tokens in the window that were used before a time.
func (w *window) sumBefore(at time.Time) float64 {
	total := 0.0
	for number := w.newest - slotCount; number < min(w.slotNumber(at), w.newest+1); number++ {
		total += w.slots[number%(slotCount+1)]
	}
	return total
}

// timeToFree returns how long it takes until the given number of tokens has left the window.
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

// timeToFreeWithin returns how long it takes until the given number of tokens leaves the window within a span that
// begins then, and whether that is before all have left. The first tokens that leave pay the debt and do not count.
func (w *window) timeToFreeWithin(tokens, debt float64, span time.Duration, now time.Time) (time.Duration, bool) {
	length := max(1, int64(span/w.slotWidth))
	oldest := w.newest - slotCount
	slots, leaving := w.slots, 0.0
	for number := oldest; number <= w.newest; number++ {
		slot := &slots[number%(slotCount+1)]
		paid := min(debt, *slot)
		debt, *slot = debt-paid, *slot-paid
		leaving += *slot
		if number >= oldest+length {
			leaving -= slots[(number-length)%(slotCount+1)]
		}
		if leaving >= tokens && debt <= 0 {
			first := max(oldest, number-length+1)
			return max(0, w.origin.Add(time.Duration(first+slotCount+1)*w.slotWidth).Sub(now)), true
		}
	}
	return 0, false
}

// Usage is the tokens used in each eighth of a window, the oldest first.
type Usage [spanCount]float64

// Sum returns the tokens used in the window.
func (u Usage) Sum() float64 {
	sum := 0.0
	for _, tokens := range u {
		sum += tokens
	}
	return sum
}

// usage returns the tokens in the window by span.
func (w *window) usage() (usage Usage) {
	for age := range int64(slotCount + 1) {
		span := max(0, spanCount-1-age*spanCount/slotCount)
		usage[span] += w.slots[(w.newest-age)%(slotCount+1)]
	}
	return usage
}

// addUsage adds usage that was reported at a time. The tokens of each span are counted at its end.
func (w *window) addUsage(usage Usage, reportedAt time.Time) {
	for span, tokens := range usage {
		age := time.Duration(spanCount-1-span) * w.slotWidth * slotCount / spanCount
		w.add(tokens, reportedAt.Add(-age))
	}
}

// spreadUsage counts usage that was reported at a time, evenly over each span.
func (w *window) spreadUsage(usage Usage, reportedAt time.Time) {
	const slotsPerSpan = slotCount / spanCount
	for span, tokens := range usage {
		for slot := range slotsPerSpan {
			age := time.Duration((spanCount-1-span)*slotsPerSpan+slot) * w.slotWidth
			w.add(tokens/slotsPerSpan, reportedAt.Add(-age))
		}
	}
}
