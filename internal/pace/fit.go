// Package pace learns the speed of the model engines of a service from a daemon's own attempts. The
// speed is not configured, because it differs between deployments. The package does no I/O and has
// no clock.
package pace

import "math"

// maxTerms is the largest number of terms of a Fit.
const maxTerms = 5

// Terms are the known quantities of a prediction, such as the number of tokens to prefill.
type Terms [maxTerms]float64

// Parameters of the fits. Coefficients are measured in units of their initial values.
const (
	// initialVariance is the variance of an initial coefficient. The slowest engines differ from
	// the initial values by a factor of ten and more.
	initialVariance = 30.0
	// minCoefficient and maxCoefficient limit a coefficient. Engines that prefill 400,000 tokens
	// per second are at an eighth, those that prefill 3,000 are at 16.
	minCoefficient, maxCoefficient = 0.01, 100.0
	// relativeNoise is the standard deviation of an observation, relative to the true value. Steps
	// of other requests and unreported queues add up to a quarter.
	relativeNoise = 0.25
	// huberThreshold is the relative error, as a part of the larger of prediction and observation,
	// beyond which the weight of an observation decreases. With it, a server that is always far off
	// and serves one request in ten changes a fit by some hundredths, and by less than a quarter in
	// extreme cases.
	huberThreshold = 0.3
	// memorySamples is the number of observations after which an observation has lost most of its
	// weight (1 - 1/e). A daemon with 20 requests per second adapts to replaced engines within a
	// minute, and noise of a quarter is averaged to less than a twentieth.
	memorySamples = 1000.0
	// calibrationSamples is the number of observations from which a fit is relied on. It allows for
	// several observations of each term, so that they do not all come from one abnormal server.
	calibrationSamples = 24
)

// Fit predicts a positive quantity as a linear combination of known terms. The coefficients are
// learned by recursive least squares on relative errors with Huber weights, and stay positive. A
// Fit is not safe for concurrent use.
type Fit struct {
	// Coefficients are in the order of the terms. Those of unused terms are zero.
	Coefficients Terms
	// Samples is the number of observations.
	Samples float64
	// initial holds the initial coefficients.
	initial Terms
	// covariance is the covariance matrix of the coefficients, in units of the initial values.
	covariance [maxTerms][maxTerms]float64
}

// NewFit returns a fit with the given initial coefficients.
func NewFit(initial ...float64) Fit {
	var f Fit
	copy(f.initial[:], initial)
	f.Coefficients = f.initial
	for i := range initial {
		f.covariance[i][i] = initialVariance
	}
	return f
}

// Calibrated reports whether the fit has enough observations to be relied on.
func (f *Fit) Calibrated() bool { return f.Samples >= calibrationSamples }

// Predict returns the predicted quantity.
func (f *Fit) Predict(terms Terms) float64 {
	sum := 0.0
	for i, c := range f.Coefficients {
		sum += c * terms[i]
	}
	return sum
}

// Observe updates the coefficients with an observed value. Values that are not positive are
// ignored.
func (f *Fit) Observe(value float64, terms Terms) {
	predicted := f.Predict(terms)
	if value <= 0 || predicted <= 0 {
		return
	}
	scale := max(value, predicted)
	deviation := math.Abs(value-predicted) / scale
	noise := relativeNoise * scale
	noise *= noise * max(1, deviation/huberThreshold)
	var gradient Terms
	for i, t := range terms {
		gradient[i] = t * f.initial[i]
	}
	f.forget(gradient)
	f.update(gradient, value-predicted, noise)
	f.Samples++
}

// forget increases the variance of the terms that take part in an observation, up to
// initialVariance.
func (f *Fit) forget(gradient Terms) {
	const growth = 1 + 1/memorySamples
	for i := range gradient {
		for j := range gradient {
			if gradient[i] > 0 && gradient[j] > 0 {
				f.covariance[i][j] *= growth
			}
		}
		if f.covariance[i][i] > initialVariance {
			f.scaleError(i, math.Sqrt(initialVariance/f.covariance[i][i]))
		}
	}
}

// scaleError scales the standard deviation of one coefficient and keeps its correlations.
func (f *Fit) scaleError(i int, factor float64) {
	for j := range f.covariance {
		f.covariance[i][j] *= factor
		f.covariance[j][i] *= factor
	}
}

// update performs the update step of recursive least squares.
func (f *Fit) update(gradient Terms, residual, noise float64) {
	var gain Terms
	sum := noise
	for i := range gain {
		for j, derivative := range gradient {
			gain[i] += f.covariance[i][j] * derivative
		}
		sum += gain[i] * gradient[i]
	}
	if sum <= 0 {
		return
	}
	for i := range gain {
		f.setCoefficient(i, f.Coefficients[i]+f.initial[i]*gain[i]/sum*residual)
		for j := range gain {
			f.covariance[i][j] -= gain[i] * gain[j] / sum
		}
	}
}

// setCoefficient sets a coefficient, limited to its range.
func (f *Fit) setCoefficient(i int, value float64) {
	f.Coefficients[i] = max(minCoefficient*f.initial[i], min(maxCoefficient*f.initial[i], value))
}

// MergeEstimate merges coefficients learned by other daemons, weighted by the numbers of samples.
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

// usable reports whether a number reported by another process is positive and finite.
func usable(number float64) bool { return number > 0 && !math.IsInf(number, 1) }

// minVarianceFactor is the least factor by which merging an estimate scales a variance. Some
// variance must remain because the engines may have changed since the estimate was made.
const minVarianceFactor = 0.02
