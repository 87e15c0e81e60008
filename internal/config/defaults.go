package config

import "time"

// Defaults of a deployment.
const (
	defaultPrefillRate    = 8000.0
	defaultDecodeInterval = Duration(25 * time.Millisecond)
	defaultMaxBatch       = 16
	defaultMaxTokens      = 4096
	defaultWeight         = 1
	defaultFirstToken     = Duration(1500 * time.Millisecond)
	defaultBetweenTokens  = Duration(72 * time.Millisecond)
	defaultAnswer         = Duration(2 * time.Second)
	defaultQueueWait      = Duration(10 * time.Second)
	deferrableQueueWait   = Duration(10 * time.Minute)
	defaultObjective      = 0.95
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// applyDefaults sets the fields that the files leave unset.
func (d *Deployment) applyDefaults() {
	for i := range d.Services {
		service := &d.Services[i]
		setDefault(&service.Fencing, FencingIgnored)
		if service.Model == nil {
			continue
		}
		setDefault(&service.Model.PrefillRate, defaultPrefillRate)
		setDefault(&service.Model.DecodeInterval, defaultDecodeInterval)
		setDefault(&service.Model.MaxBatch, defaultMaxBatch)
		setDefault(&service.Model.MaxTokens, defaultMaxTokens)
	}
	for i := range d.Workspaces {
		setDefault(&d.Workspaces[i].Weight, defaultWeight)
	}
	for i := range d.Routes {
		d.Routes[i].applyDefaults()
	}
}

func (r *Route) applyDefaults() {
	setDefault(&r.Targets.FirstToken, defaultFirstToken)
	setDefault(&r.Targets.BetweenTokens, defaultBetweenTokens)
	setDefault(&r.Targets.Answer, defaultAnswer)
	setDefault(&r.Targets.Objective, defaultObjective)
	if r.Class == ClassDeferrable {
		setDefault(&r.Targets.QueueWait, deferrableQueueWait)
	}
	setDefault(&r.Targets.QueueWait, defaultQueueWait)
}

// DefaultSettings returns the values of settings that a file leaves unset.
func DefaultSettings() Settings {
	return Settings{
		Limits: RequestLimits{
			BodyBytes:           8 << 20,
			HeaderBytes:         64 << 10,
			AnswerBytes:         16 << 20,
			ReadTimeout:         Duration(30 * time.Second),
			WriteTimeout:        Duration(30 * time.Second),
			HeldAnswerBytes:     32 << 20,
			RequestCopyBytes:    256 << 20,
			AnswerRetention:     Duration(10 * time.Minute),
			ResumeGrace:         Duration(5 * time.Second),
			MaxRequestTime:      Duration(10 * time.Minute),
			AttemptIdleTimeout:  Duration(60 * time.Second),
			PlainAttemptTimeout: Duration(30 * time.Second),
			RetryRatio:          0.2,
			ExtraRetries:        50,
			RetryWindow:         Duration(10 * time.Second),
		},
		Drain: Drain{Delay: Duration(3 * time.Second)},
	}
}
