package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plankridge/plankridge/platform/fake"
)

const (
	// retryWindow, retryRatio and extraRetries are the retry budget of the daemons' settings.
	retryWindow  = 10 * time.Second
	retryRatio   = 0.2
	extraRetries = 50.0
)

// loseAnswers makes all servers of a service lose their answers for a while.
func (d *deployment) loseAnswers(r *rand.Rand, lasts time.Duration) {
	service := one(r, []string{plainService, modelService})
	for _, s := range d.servers {
		if s.service == service {
			s.say(fake.Behaviour{LoseAnswer: service == plainService, BreakAfter: 1})
		}
	}
	time.Sleep(lasts)
	for _, s := range d.servers {
		if s.service == service {
			s.say(fake.Behaviour{})
		}
	}
}

// overRetryBudget returns what is wrong if a service got more arrivals beyond the first of their requests
// in some window than all daemons together may send. The caller holds the lock.
func (c *callers) overRetryBudget() (found []string) {
	for _, service := range []string{plainService, modelService} {
		requests, repeats := c.retriesOf(service)
		worst := 0.0
		for _, from := range repeats {
			sent := max(within(requests, from), within(requests, from.Add(-retryWindow/2)), within(requests, from.Add(-retryWindow)))
			worst = max(worst, float64(within(repeats, from))/(retryRatio*float64(sent)+extraRetries))
		}
		c.worstRetries = max(c.worstRetries, worst)
		if worst > 1 {
			found = append(found, fmt.Sprintf("service %s got %.3f of its retry budget in a window of %s", service, worst, retryWindow))
		}
	}
	return found
}

// retriesOf returns when requests for a service were sent, and when they reached servers once more.
func (c *callers) retriesOf(service string) (requests, repeats []time.Time) {
	sentAt := map[string]time.Time{}
	for _, o := range c.outcomes {
		sentAt[o.id] = o.sentAt
	}
	var arrivals []fake.Arrival
	for _, s := range c.d.servers {
		if s.service == service {
			arrivals = append(arrivals, s.runner.Arrivals()...)
		}
	}
	slices.SortFunc(arrivals, func(a, b fake.Arrival) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	seen := map[string]bool{}
	for _, a := range arrivals {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
			continue
		}
		seen[a.ID] = true
		requests = append(requests, sentAt[a.ID])
	}
	slices.SortFunc(requests, time.Time.Compare)
	return requests, repeats
}

// within returns how many of the sorted times lie in the window that begins at a time.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return end - first
}
