package robustness

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/plankridge/plankridge/internal/dev"
)

// A caller's request ended each server that ran it, and the caller came again, at any daemon.
// Each daemon sent it to the next server until its time was over, 8,872 times in 20 s, and each time all that
// the server had in hand was lost with it.

// endsServers is part of a request that ends each server that runs it.
const endsServers = "ends each server"

const (
	// learnedIn is how long after its third server has ended daemons may still not know of the
	// request, and lateOnes how often it may reach servers after that.
	learnedIn = 3 * time.Second
	lateOnes  = 3
	// endingCopies come endingPause apart.
	endingCopies = 40
	endingPause  = 500 * time.Millisecond
)

// reaches are the times at which the request reached servers.
type reaches struct {
	mu  sync.Mutex
	all []time.Time
}

// ends notes that a server runs a request, and reports whether that ends it.
func (r *reaches) ends(_ string, body []byte) bool {
	if !strings.Contains(string(body), endsServers) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, time.Now())
	return true
}

// late returns how often the request reached servers when daemons should have known of it.
func (r *reaches) late() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.all) < 3 {
		return 0
	}
	slices.SortFunc(r.all, time.Time.Compare)
	known := r.all[2].Add(learnedIn)
	return len(slices.DeleteFunc(slices.Clone(r.all), func(at time.Time) bool { return !at.After(known) }))
}

// askModel asks a model and returns the status, the body and Retry-After.
func askModel(b *bed, text string) (int, string, string) {
	resp, body := b.call(http.MethodPost, balancerURL+"/v1/chat/completions", "devis", fmt.Sprintf(`{"model":"modele-devis","messages":[{"role":"user","content":%q}],"max_tokens":8}`, text))
	return resp.StatusCode, body, resp.Header.Get("Retry-After")
}

// TestRequestThatEndsServersIsRefused: by every daemon, with when to come again, and nobody else
// is refused for it.
func TestRequestThatEndsServersIsRefused(t *testing.T) {
	for name, ask := range map[string]func(b *bed, text string) (int, string, string){
		"model": askModel,
		"plain service": func(b *bed, text string) (int, string, string) {
			resp, body := b.call(http.MethodPost, balancerURL+"/services/app-carriere/weighings", "pesee", fmt.Sprintf("{%q: 1}", text))
			return resp.StatusCode, body, resp.Header.Get("Retry-After")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				reached := &reaches{}
				b := startWith(t, dev.Options{
					Example: "ndiaye", Logger: slog.New(slog.NewTextHandler(logOutput(), nil)), ListLag: time.Second, CrashesOn: reached.ends,
					OnViolation: func(err error) { t.Errorf("invariant violated: %v", err) },
				})
				playEnding(b, ask, endingTexts{bad: func(int) string { return endsServers }, sound: func(n int) string { return fmt.Sprintf("question %d", n/2) }})
				t.Logf("reached servers %d times, %d of them late", len(reached.all), reached.late())
				b.Check(reached.late() <= lateOnes, qt.IsTrue, qt.Commentf("reached servers %d times after its third had ended", reached.late()))
			})
		})
	}
}

// TestPromptsWithABeginningThatEndsServersAreRefused guards against prompts of which no two are alike,
// and whose common beginning ends each server: by every daemon, and nobody else is refused for it.
func TestPromptsWithABeginningThatEndsServersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := &reaches{}
		b := startWith(t, dev.Options{
			Example: "ndiaye", Logger: slog.New(slog.NewTextHandler(logOutput(), nil)), ListLag: time.Second, CrashesOn: reached.ends,
			OnViolation: func(err error) { t.Errorf("invariant violated: %v", err) },
		})
		wide := strings.Repeat("the terms of the quarry ", 30)
		bad := wide + strings.Repeat(endsServers+" ", 40)
		playEnding(b, askModel, endingTexts{
			bad:   func(n int) string { return fmt.Sprintf("%s question %d", bad, n) },
			sound: func(n int) string { return fmt.Sprintf("%s question %d", wide, n) },
		})
		t.Logf("reached servers %d times, %d of them late", len(reached.all), reached.late())
		b.Check(reached.late() <= lateOnes, qt.IsTrue, qt.Commentf("reached servers %d times after its third had ended", reached.late()))
	})
}

// endingTexts are what callers ask: bad requests end servers.
type endingTexts struct{ bad, sound func(n int) string }

// playEnding sends bad requests again and again beside others, and checks what callers are told.
func playEnding(b *bed, ask func(b *bed, text string) (int, string, string), texts endingTexts) {
	var all sync.WaitGroup
	served := 0
	all.Go(func() {
		for n := range 4 * endingCopies {
			status, body, _ := ask(b, texts.sound(n))
			b.Check(body, qt.Not(qt.Contains), "ends the servers that run it")
			if status == http.StatusOK {
				served++
			}
			time.Sleep(endingPause / 4)
		}
	})
	for n := range endingCopies {
		all.Go(func() { ask(b, texts.bad(n)) })
		time.Sleep(endingPause)
	}
	all.Wait()
	b.Check(served > 2*endingCopies, qt.IsTrue, qt.Commentf("%d served", served))
	for n := range b.d.Nodes {
		status, body, retryAfter := ask(b, texts.bad(endingCopies+n))
		b.Check(status, qt.Equals, http.StatusServiceUnavailable)
		b.Check(body, qt.Contains, "ends the servers that run it")
		b.Check(body, qt.Contains, "not-run")
		b.Check(retryAfter, qt.Equals, "30")
	}
}

// TestPlainAnswerThatItsServersEndCutIsNotComplete guards against passing on, as complete, the
// beginning of an answer without length or chunks whose server has exited.
func TestPlainAnswerThatItsServersEndCutIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := &reaches{}
		b := startWith(t, dev.Options{
			Example: "ndiaye", Logger: slog.New(slog.NewTextHandler(logOutput(), nil)), CrashesOn: reached.ends, CrashText: "half of an answer",
			OnViolation: func(err error) { t.Errorf("invariant violated: %v", err) },
		})
		resp, body := b.call(http.MethodPost, balancerURL+"/services/app-carriere/weighings", "pesee", fmt.Sprintf("{%q: 1}", endsServers))
		b.Check(reached.all, qt.Not(qt.HasLen), 0)
		b.Check(resp.StatusCode, qt.Not(qt.Equals), http.StatusOK)
		b.Check(body, qt.Not(qt.Contains), "half of an answer")
		// The server's replacement starts.
		time.Sleep(5 * time.Second)
	})
}
