// Package pace learns how fast the model engines of a service work, from what a
// daemon sees of its own attempts. No configuration states it, and no figure of one
// user's machines holds for another's. It does no I/O and has no clock.
package pace

import "math"

// maxTerms is the largest number of terms that a Fit sums up.
const maxTerms = 5

// Terms are the known quantities that a prediction is made from, such as the number of
// tokens to read.
type Terms [maxTerms]float64

// Coefficients are counted in units of their start values.
const (
	// initialVariance is how little a start value is relied on: the slowest engines differ
	// from it by ten times and more.
	initialVariance = 30.0
	// minCoefficient and most bound a coefficient. Engines that read 400,000 tokens a second are
	// at an eighth, those that read 3,000 at 16.
	minCoefficient, maxCoefficient = 0.01, 100.0
	// relativeNoise is that of one observation around the truth, as a part of it: steps of
	// other requests and a queue that nobody told of make a quarter.
	relativeNoise = 0.25
	// huberThreshold is the distance from what was predicted, as a part of the larger of
	// the two, beyond which an observation weighs no more than at it. A server that is
	// always far off and serves one request in ten moves a fit by some hundredths, in the
	// extremes by less than a quarter.
	huberThreshold = 0.3
	// memorySamples is the number of observations after which one has lost most of its weight
	// (1 - 1/e): a daemon that gets 20 requests a second follows engines that are
	// replaced within a minute, and noise of a quarter stays below a twentieth.
	memorySamples = 1000.0
	// calibrationSamples is the number of observations after which a fit is relied on: some
	// for each term, so that one odd server does not make up all of them.
	calibrationSamples = 24
)

// Fit predicts a positive quantity as a sum of known terms with learned coefficients:
// recursive least squares of relative errors, with Huber's weights and coefficients
// that stay positive.
type Fit struct {
	// Coefficients belong to the terms in order. Those of terms that are not used are
	// zero.
	Coefficients Terms
	// Samples is the number of observations.
	Samples float64
	// initial are the coefficients that the fit began with.
	initial Terms
	// covariance is that of the coefficients' errors, in units of the start values.
	covariance [maxTerms][maxTerms]float64
}

// NewFit returns a fit with coefficients to begin with.
func NewFit(start ...float64) Fit {
	var f Fit
	copy(f.initial[:], start)
	f.Coefficients = f.initial
	for i := range start {
		f.covariance[i][i] = initialVariance
	}
	return f
}

// Calibrated reports whether the fit has seen enough to be relied on.
func (f *Fit) Calibrated() bool { return f.Samples >= calibrationSamples }

// Predict returns the predicted quantity.
func (f *Fit) Predict(terms Terms) float64 {
	sum := 0.0
	for i, c := range f.Coefficients {
		sum += c * terms[i]
	}
	return sum
}

// Observe takes over what a quantity was.
func (f *Fit) Observe(value float64, terms Terms) {
	predicted := f.Predict(terms)
	if value <= 0 || predicted <= 0 {
		return
	}
	scale := max(value, predicted)
	off := math.Abs(value-predicted) / scale
	noise := relativeNoise * scale
	noise *= noise * max(1, off/huberThreshold)
	var slopes Terms
	for i, t := range terms {
		slopes[i] = t * f.initial[i]
	}
	f.forget(slopes)
	f.update(slopes, value-predicted, noise)
	f.Samples++
}

// forget widens the errors of the terms that take part in an observation.
func (f *Fit) forget(slopes Terms) {
	const growth = 1 + 1/memorySamples
	for i := range slopes {
		for j := range slopes {
			if slopes[i] > 0 && slopes[j] > 0 {
				f.covariance[i][j] *= growth
			}
		}
		if f.covariance[i][i] > initialVariance {
			f.scaleError(i, math.Sqrt(initialVariance/f.covariance[i][i]))
		}
	}
}

// scaleError scales the errors of one coefficient and keeps the correlations.
func (f *Fit) scaleError(i int, by float64) {
	for j := range f.covariance {
		f.covariance[i][j] *= by
		f.covariance[j][i] *= by
	}
}

// update is the step of recursive least squares.
func (f *Fit) update(slopes Terms, off, noise float64) {
	var gain Terms
	sum := noise
	for i := range gain {
		for j, slope := range slopes {
			gain[i] += f.covariance[i][j] * slope
		}
		sum += gain[i] * slopes[i]
	}
	if sum <= 0 {
		return
	}
	for i := range gain {
		f.setCoefficient(i, f.Coefficients[i]+f.initial[i]*gain[i]/sum*off)
		for j := range gain {
			f.covariance[i][j] -= gain[i] * gain[j] / sum
		}
	}
}

// setCoefficient sets a coefficient within its bounds.
func (f *Fit) setCoefficient(i int, to float64) {
	f.Coefficients[i] = max(minCoefficient*f.initial[i], min(maxCoefficient*f.initial[i], to))
}

// MergeEstimate takes over coefficients that others have learned, with the weight of what
// they have seen against what this fit has.
func (f *Fit) MergeEstimate(others Estimate) {
	if !usable(others.Samples) {
		return
	}
	weight := others.Samples / (others.Samples + f.Samples)
	for i, c := range others.Coefficients {
		if i >= maxTerms || !usable(c) {
			continue
		}
		f.setCoefficient(i, f.Coefficients[i]+weight*(c-f.Coefficients[i]))
		f.scaleError(i, math.Sqrt(max(minVarianceFactor, 1-weight)))
	}
	f.Samples = min(memorySamples, f.Samples+others.Samples)
}

// usable reports whether a figure that another process told can be worked with.
func usable(figure float64) bool { return figure > 0 && !math.IsInf(figure, 1) }

// minVarianceFactor is the part of the errors that is left at least when others' coefficients
// are taken over: their engines may not be those of today.
const minVarianceFactor = 0.02
