package experiment

import "time"

// dieAll ends all daemons with what they have in flight and starts them again after a
// while. What they had learned of the engines is kept, as by the record in the store.
func (w *world) dieAll(down time.Duration) {
	w.downUntil = w.now.Add(down)
	for _, e := range w.engines {
		for _, j := range append(e.waiting, e.running...) {
			w.broken(j)
		}
	}
	for i, old := range w.daemons {
		fresh := newDaemon(w, old.id, old.zone)
		fresh.view.MergeEngineEstimates(old.view.EngineEstimates())
		*w.daemons[i] = *fresh
	}
}

// reaches reports whether a daemon reaches a server: not while one of their zones is cut
// off from the other.
func (w *world) reaches(daemonZone, serverZone string) bool {
	if daemonZone == serverZone {
		return true
	}
	at := w.now.Sub(origin)
	for _, cut := range w.day.Cuts {
		between := cut.Zone == daemonZone || cut.Zone == serverZone
		if between && at >= cut.At.Std() && at < cut.At.Std()+cut.For.Std() {
			return false
		}
	}
	return true
}
