package experiment

import (
	"container/heap"
	"strconv"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int64
	run   func()
}

// events is a heap of events by time, and by order among equals.
type events []*event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// after runs something later.
func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, &event{at: w.now.Add(max(0, d)), order: w.order, run: run})
}

// every runs something again and again, from a first time on.
func (w *world) every(period, first time.Duration, run func()) {
	w.after(first, func() {
		run()
		w.every(period, period, run)
	})
}

// pathAt names a field of an entry of a list, as findings do.
func pathAt(list string, index int, field string) string {
	return list + "[" + strconv.Itoa(index) + "]." + field
}
