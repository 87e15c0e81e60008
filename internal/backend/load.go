package backend

import "github.com/plankridge/plankridge/internal/route"

// Load is the load in flight on a server.
type Load struct {
	Running int
	// PendingTokens is the number of prompt tokens of requests that have not produced a first token
	// yet.
	PendingTokens int
	// Pending and Started are the parts of PendingTokens and Running that are known to be of a less
	// urgent class. The remainder is of class 0 or of an unknown class, and no request goes before
	// it.
	Pending, Started LessUrgent
}

// LessUrgent holds an amount for each class of rank but the most urgent one; see route.RankClass.
type LessUrgent [route.RankClasses - 1]int

// behind returns the amount of all classes that are less urgent than a class.
func (u LessUrgent) behind(class int) int {
	sum := 0
	for i := max(0, class); i < len(u); i++ {
		sum += u[i]
	}
	return sum
}

// plus returns the sum of two amounts, with the second one multiplied by a factor.
func (u LessUrgent) plus(more LessUrgent, factor int) LessUrgent {
	for i := range u {
		u[i] += factor * more[i]
	}
	return u
}

// within returns the amounts without negative ones, and reduced so that they are at most total.
func (u LessUrgent) within(total int) LessUrgent {
	remaining := max(0, total)
	for i := len(u) - 1; i >= 0; i-- {
		u[i] = max(0, min(u[i], remaining))
		remaining -= u[i]
	}
	return u
}

// add adds an amount of a class. Class 0 has no amount of its own.
func (u *LessUrgent) add(class, amount int) {
	if class > 0 && class <= len(u) {
		u[class-1] += amount
	}
}

// Plus returns the sum of two loads.
func (l Load) Plus(more Load) Load {
	return Load{
		Running: l.Running + more.Running, PendingTokens: l.PendingTokens + more.PendingTokens,
		Pending: l.Pending.plus(more.Pending, 1), Started: l.Started.plus(more.Started, 1),
	}
}

// Minus returns the load without a part of it. The parts by class are rounded in reports, so they are
// kept within the totals. The totals may become negative if the load is older than the part.
func (l Load) Minus(part Load) Load {
	rest := Load{Running: l.Running - part.Running, PendingTokens: l.PendingTokens - part.PendingTokens}
	rest.Pending = l.Pending.plus(part.Pending, -1).within(rest.PendingTokens)
	rest.Started = l.Started.plus(part.Started, -1).within(rest.Running)
	return rest
}

// Divided returns the mean of a load that is the sum over n servers.
func (l Load) Divided(n int) Load {
	mean := Load{Running: l.Running / n, PendingTokens: l.PendingTokens / n}
	for i := range l.Pending {
		mean.Pending[i], mean.Started[i] = l.Pending[i]/n, l.Started[i]/n
	}
	return mean
}

// withPending returns the load with the pending prompts of another one added.
func (l Load) withPending(more Load) Load {
	l.PendingTokens += max(0, more.PendingTokens)
	l.Pending = l.Pending.plus(more.Pending, 1)
	return l
}

// withRunning returns the load with the running attempts of another one added.
func (l Load) withRunning(more Load) Load {
	l.Running += max(0, more.Running)
	l.Started = l.Started.plus(more.Started, 1)
	return l
}

// PromptLoad returns the load of one prompt of a class that is about to be processed.
func PromptLoad(class, tokens int) Load {
	load := Load{PendingTokens: max(0, tokens)}
	load.Pending.add(class, load.PendingTokens)
	return load
}

// shareUnits is the number of equal parts in which a load's composition is reported. The 120 ways to
// divide 14 parts among three classes fit into the 7 bits that each of two totals has in a report.
const shareUnits = 14

// compositionBits is the number of bits of one composition.
const compositionBits = 7

// Urgency returns the shares of the classes in the load's pending tokens and running attempts, as
// reported to other daemons. Zero means that no less urgent part is known.
func (l Load) Urgency() uint32 {
	return l.Pending.composition(l.PendingTokens) | l.Started.composition(l.Running)<<compositionBits
}

// WithUrgency returns the load with the parts by class that another daemon has reported as shares.
func (l Load) WithUrgency(urgency uint32) Load {
	l.Pending = partsOf(urgency&(1<<compositionBits-1), l.PendingTokens)
	l.Started = partsOf(urgency>>compositionBits&(1<<compositionBits-1), l.Running)
	return l
}

// composition numbers the shares of the classes in a total: in order of the share of class 1, then
// of class 2.
func (u LessUrgent) composition(total int) uint32 {
	if total <= 0 {
		return 0
	}
	u = u.within(total)
	second := (u[1]*shareUnits + total/2) / total
	first := min(shareUnits-second, (u[0]*shareUnits+total/2)/total)
	return uint32(firstComposition(first) + second)
}

// firstComposition returns the number of the first composition with a share of class 1.
func firstComposition(first int) int { return first*(shareUnits+1) - first*(first-1)/2 }

// partsOf reverses composition. An invalid number means that the parts are unknown.
func partsOf(composition uint32, total int) LessUrgent {
	if total <= 0 || composition >= uint32(firstComposition(shareUnits+1)) {
		return LessUrgent{}
	}
	first := 0
	for first < shareUnits && firstComposition(first+1) <= int(composition) {
		first++
	}
	second := int(composition) - firstComposition(first)
	return LessUrgent{first * total / shareUnits, second * total / shareUnits}
}
