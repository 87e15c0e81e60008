package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request of a caller.
type call struct {
	id, path, key string
	// body stands in place of the usual one, part is a further part of the prompt.
	body, part string
}

// outcome is what a caller saw of one request.
type outcome struct {
	call
	sentAt time.Time
	status int
	stamp  string
	answer string
	// whole is set for an answer that looked complete.
	whole bool
}

// callers send requests and keep what they saw.
type callers struct {
	d    *deployment
	http *http.Client
	stop chan struct{}
	wait sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
	// ending are what the caller saw whose request ends servers.
	ending []outcome
	// worstWindow is the most that a window got of the allowance, as a share of what it may get.
	worstWindow float64
	// worstRetries is the largest share of a retry budget that a window has used.
	worstRetries float64
}

const (
	callerCount = 12
	// callerLimit is how long a caller waits, pause the longest time between two
	// requests of one.
	callerLimit = 3 * time.Second
	// endingEvery is the time between two copies of the request that ends servers, heldBack
	// what its caller is told.
	endingEvery = 800 * time.Millisecond
	heldBack    = "ends the servers that run it"
	pause       = 60 * time.Millisecond
)

// call starts callers that use open connections until their daemon is gone.
func (d *deployment) call(seed uint64) *callers {
	c := &callers{d: d, stop: make(chan struct{}), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}}
	for i := range callerCount {
		c.wait.Go(func() { c.run(rand.New(rand.NewPCG(seed, uint64(1000+i))), i) })
	}
	for i := range limitedCallers {
		c.wait.Go(func() { c.runLimited(seed, i) })
	}
	c.wait.Go(func() { c.runEnding(rand.New(rand.NewPCG(seed, 2000))) })
	return c
}

// runEnding sends requests that end the servers that run them, again and again: by their content or
// by a part of their prompts.
func (c *callers) runEnding(r *rand.Rand) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(endingEvery/2 + time.Duration(r.Int64N(int64(endingEvery)))):
		}
		c.sendEnding(one(r, c.d.daemons), r.IntN(2) == 0)
	}
}

// sendEnding sends it once and reports whether it was held back. By its part, it has a body that no
// other has.
func (c *callers) sendEnding(to *process, byPart bool) bool {
	c.mu.Lock()
	id := fmt.Sprintf("ffff%012x", len(c.ending))
	c.mu.Unlock()
	ending := call{id: id, path: "/c/x", key: lastingKey, body: poison}
	if byPart {
		ending.body, ending.part = "", badPart
	}
	seen := c.send(ending, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = append(c.ending, seen)
	return seen.status == http.StatusServiceUnavailable && strings.Contains(seen.answer, heldBack)
}

// mostEnding bounds how often a daemon is asked until it holds the request back. Three servers
// in a row are enough where every answer comes; some are out of reach, or an attempt is refused
// for another reason.
const mostEnding = 40

// heldBackEverywhere sends the request to each daemon until it is held back there.
func (c *callers) heldBackEverywhere(byPart bool) bool {
	for _, p := range c.d.daemons {
		held := false
		for try := 0; try < mostEnding && !held; try++ {
			if held = c.sendEnding(p, byPart); !held {
				time.Sleep(endingEvery / 4)
			}
		}
		if !held {
			return false
		}
	}
	return true
}

// end stops the callers and waits for their last answers.
func (c *callers) end() {
	close(c.stop)
	c.wait.Wait()
	c.http.CloseIdleConnections()
}

func (c *callers) run(r *rand.Rand, caller int) {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(pause)))):
		}
		seen := c.send(call{id: fmt.Sprintf("%04x%012x", caller, n), path: one(r, []string{"/a/x", "/b/x", "/c/x"}), key: lastingKey}, one(r, c.d.daemons))
		c.mu.Lock()
		c.outcomes = append(c.outcomes, seen)
		c.mu.Unlock()
	}
}

func (c *callers) send(call call, to *process) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	defer cancel()
	if call.body == "" {
		call.body = "body of " + call.id
	}
	seen := outcome{call: call, sentAt: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.ip+":8080"+call.path, strings.NewReader(call.body))
	if err != nil {
		return seen
	}
	req.Host = host
	// The library would send a request a second time by itself if it could.
	req.GetBody = nil
	req.Header.Set("Request-Id", call.id)
	req.Header.Set("Authorization", "Token "+call.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerLimit.Milliseconds()))
	if call.path == "/c/x" {
		req.Header.Set("Token-Counts", "100,36")
		prompt := "aa:60,"
		if call.part != "" {
			prompt += call.part + ":20,"
		}
		req.Header.Set("Prefix-Hash", prompt+call.id+":40")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return seen
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	seen.status, seen.stamp, seen.answer, seen.whole = resp.StatusCode, resp.Header.Get("Response-Stamp"), string(answer), err == nil
	if echoed := resp.Header.Get("Request-Id"); echoed != "" && echoed != call.id {
		seen.answer = "answer bears the ID " + echoed
	}
	return seen
}

// broken returns the promises that do not hold, from what callers and servers saw.
func (c *callers) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]int{}
	var found []string
	sent := map[string]outcome{}
	for _, o := range c.outcomes {
		sent[o.id] = o
	}
	for _, s := range c.d.servers {
		for _, a := range s.runner.Arrivals() {
			o, known := sent[a.ID]
			switch {
			case !known:
				found = append(found, fmt.Sprintf("request %s was run and not sent", a.ID))
			case a.Target != o.path || a.Body != o.body:
				found = append(found, fmt.Sprintf("request %s reached a server as %s %q", a.ID, a.Target, a.Body))
			}
			if a.Header.Get("Authorization") != "" || a.Header.Get("Tenant") != workspaceOf[o.key] {
				found = append(found, fmt.Sprintf("request %s came with the key or without its workspace", a.ID))
			}
			if a.Ran {
				runs[a.ID]++
			}
		}
	}
	for _, o := range c.outcomes {
		found = append(found, o.broken(runs[o.id])...)
	}
	found = append(found, c.overAllowance()...)
	found = append(found, c.overRetryBudget()...)
	return append(found, c.d.cloud.Violations()...)
}

// broken checks one request that servers ran so often.
func (o *outcome) broken(runs int) []string {
	var found []string
	note := func(format string, args ...any) {
		found = append(found, fmt.Sprintf("request %s on %s: ", o.id, o.path)+fmt.Sprintf(format, args...))
	}
	if o.path == "/b/x" && runs > 1 {
		note("ran %d times", runs)
	}
	if strings.Contains(o.answer, heldBack) {
		note("was held back as one that ends servers")
	}
	switch {
	case o.status == 429 || o.status == 503 || o.status == 408 || o.status == 421:
		if runs > 0 && o.path == "/b/x" {
			note("was refused with %d and ran", o.status)
		}
	case o.status == 401 || o.status == 404 || o.status == 403 || o.status == 400:
		note("was denied with %d", o.status)
	case o.status == 200 && o.stamp == "":
		note("succeeded without a server's signature")
	case o.status == 200 && runs == 0:
		note("succeeded and did not run")
	case o.status == 200 && o.path == "/c/x":
		if wrong := wrongStream(o.answer, o.whole); wrong != "" {
			note("%s", wrong)
		}
	case o.status == 200 && o.whole && o.answer != "answer to "+o.id:
		note("got the answer %q", o.answer)
	}
	return found
}

// wrongStream returns what is wrong with the events of a stream, or nothing.
func wrongStream(body string, whole bool) string {
	var want strings.Builder
	for id := 1; id <= eventsOfStream; id++ {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: token %d\n\n", id, id)
	}
	switch {
	case !strings.HasPrefix(want.String(), body):
		return fmt.Sprintf("its events are not in order: %q", body)
	case whole && body != want.String():
		return "its stream looks complete and is not"
	}
	return ""
}
