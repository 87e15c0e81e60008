package allowance

import (
	"fmt"
	"math"
)

const (
	// rankClasses is the number of classes by rank: 0, 1, and 2 and more.
	rankClasses = 3
	// sizeClasses is the number of classes by size: below 512 tokens, below 4,096, below 32,768, and more. With a
	// factor of eight the requests of one route fall into one to three classes, and reports stay small.
	sizeClasses = 4
	// ClassCount is the number of classes.
	ClassCount = rankClasses * sizeClasses
	// smallestClassTokens is the upper limit of the smallest requests, and classFactor that between two classes.
	smallestClassTokens = 512
	classFactor         = 8
)

// Class is a class of a workspace's requests, by rank and size. A lower class has priority: more urgent ranks come
// first, and smaller requests before larger ones of the same rank.
type Class int

// noClass stands for a request whose class is not known.
const noClass Class = -1

// ClassOf returns the class of a request of the given rank, of which zero is the most urgent, and tokens.
func ClassOf(rank int, tokens float64) Class {
	size := 0
	for limit := float64(smallestClassTokens); size < sizeClasses-1 && tokens >= limit; limit *= classFactor {
		size++
	}
	return Class(min(max(0, rank), rankClasses-1)*sizeClasses + size)
}

// String returns the rank and the size of the class, for logs and metrics.
func (c Class) String() string {
	if c < 0 || c >= ClassCount {
		return "none"
	}
	rank, size := fmt.Sprint(c.rank()), int(c)%sizeClasses
	if c.rank() == rankClasses-1 {
		rank += "+"
	}
	limit := int(smallestClassTokens * math.Pow(classFactor, float64(size)))
	if size == sizeClasses-1 {
		return fmt.Sprintf("rank %s, from %d tokens", rank, limit/classFactor)
	}
	return fmt.Sprintf("rank %s, below %d tokens", rank, limit)
}

func (c Class) rank() int { return int(c) / sizeClasses }

// classRequestTokens returns the assumed tokens of one request of a class: the geometric mean of its limits.
func classRequestTokens(c Class) float64 {
	return meanTokens[int(c)%sizeClasses]
}

var meanTokens = [sizeClasses]float64{181, 1448, 11_585, 92_682}

// byClass holds a value for each class.
type byClass [ClassCount]float64

func (b *byClass) sum() float64 {
	sum := 0.0
	for _, value := range b {
		sum += value
	}
	return sum
}
