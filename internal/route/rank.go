package route

// RankClasses is the number of classes of rank that daemons distinguish in loads and demand: rank 0,
// rank 1, and all others. More classes would need more bytes in every report.
const RankClasses = 3

// LeastUrgent is the class of the least urgent requests, and of those that are late in any case.
const LeastUrgent = RankClasses - 1

// RankClass returns the class of a rank. Class 0 is the most urgent one.
func RankClass(rank int) int { return max(0, min(LeastUrgent, rank)) }
