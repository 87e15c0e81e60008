// Command tracegen writes the traces of both users' days, compressed to about
// a minute, with the answers that the stand-ins give. Run it from the root of
// the repository: go run ./internal/replay/tracegen.
package main

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"

	"github.com/plankridge/plankridge/examples"
	"github.com/plankridge/plankridge/internal/replay"
	"github.com/plankridge/plankridge/internal/request"
	"github.com/plankridge/plankridge/internal/standin/modelengine"
	"github.com/plankridge/plankridge/internal/standin/plainservice"
)

const folder = "testdata/traces"

func main() {
	for name, trace := range map[string]*replay.Trace{"ndiaye-day": ndiaye(), "amakusa-day": amakusa()} {
		if err := write(filepath.Join(folder, name+".jsonl"), trace); err != nil {
			log.Fatal(err)
		}
	}
}

func write(path string, trace *replay.Trace) error {
	slices.SortStableFunc(trace.Entries, func(a, b replay.Entry) int { return cmp.Compare(a.At, b.At) })
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	out := json.NewEncoder(file)
	if err := out.Encode(trace.Header); err != nil {
		return err
	}
	for _, entry := range trace.Entries {
		if err := out.Encode(entry); err != nil {
			return err
		}
	}
	return file.Close()
}

// builder adds entries to a trace.
type builder struct {
	trace  *replay.Trace
	random *rand.Rand
	count  int
}

func newBuilder(name string, seed uint64, workspaces []string) *builder {
	keys := map[string]string{}
	for _, workspace := range workspaces {
		keys[workspace] = examples.SampleKey(workspace)
	}
	return &builder{
		random: rand.New(rand.NewPCG(seed, seed)),
		trace: &replay.Trace{Header: replay.Header{
			Name:      name,
			Keys:      keys,
			Documents: map[string]replay.Document{},
			Targets:   replay.Targets{FirstToken: 1.5, BetweenTokens: 0.072, Answer: 1},
		}},
	}
}

func (b *builder) documents(prefix string, count, bytes int) {
	for i := range count {
		b.trace.Header.Documents[fmt.Sprintf("%s-%d", prefix, i)] = replay.Document{Seed: uint64(bytes + i), Bytes: bytes}
	}
}

func (b *builder) add(at float64, entry replay.Entry) {
	b.count++
	entry.At = math.Round(at*1000) / 1000
	entry.ID = fmt.Sprintf("%s-%04d", b.trace.Header.Name, b.count)
	entry.Expect.Outcome = request.OutcomeOK
	if entry.Prompt != nil {
		prompt := "user: " + b.trace.Prompt(&entry) + "\nassistant:"
		entry.Expect.SHA256 = sum([]byte(modelengine.NewAnswer(prompt, entry.MaxTokens).Text()))
	} else {
		entry.Expect.SHA256 = sum(plainservice.Answer(entry.Method, entry.Path, entry.Reference, []byte(entry.Body)))
	}
	b.trace.Entries = append(b.trace.Entries, entry)
}

func sum(raw []byte) string {
	digest := sha256.Sum256(raw)
	return hex.EncodeToString(digest[:])
}

// dayRate is the shape of a working day over the trace: slow in the morning,
// a peak before noon, a pause, and a lower peak in the afternoon.
func dayRate(part float64) float64 {
	morning := math.Exp(-math.Pow((part-0.35)/0.14, 2))
	afternoon := 0.8 * math.Exp(-math.Pow((part-0.75)/0.13, 2))
	return 0.15 + morning + afternoon
}

// arrivals returns the times of about perSecond requests a second at the peak.
func (b *builder) arrivals(seconds, perSecond float64) []float64 {
	var times []float64
	for at := 0.0; at < seconds; {
		at += b.random.ExpFloat64() / perSecond
		if at < seconds && b.random.Float64() < dayRate(at/seconds)/1.15 {
			times = append(times, at)
		}
	}
	return times
}

const daySeconds = 45

// ndiaye: long contract files that are read again and again with short
// questions between, and the calls of the order desk and the yard scales.
func ndiaye() *replay.Trace {
	b := newBuilder("ndiaye-day", 1, []string{"devis", "chantiers", "pesee", "commandes", "macons"})
	b.documents("contract", 8, 48000)
	b.documents("terms", 12, 9000)
	b.trace.Header.Ledger = &replay.Ledger{Workspace: "pesee", Service: "app-carriere", Path: "/ledger"}
	for _, at := range b.arrivals(daySeconds, 3) {
		contract := fmt.Sprintf("contract-%d", int(math.Abs(b.random.NormFloat64())*2)%8)
		b.add(at, replay.Entry{
			Workspace: "devis", Service: "modele-devis", Stream: true, MaxTokens: 48,
			Prompt: []replay.PromptPart{{Document: contract}, {Text: fmt.Sprintf("\nDraft quotation line %d.", b.random.IntN(1000))}},
		})
	}
	for _, at := range b.arrivals(daySeconds, 4) {
		b.add(at, replay.Entry{
			Workspace: "chantiers", Service: "modele-devis", Stream: true, MaxTokens: 32,
			Prompt: []replay.PromptPart{{Document: fmt.Sprintf("terms-%d", b.random.IntN(12))}, {Text: "\nWhen is lot " + fmt.Sprint(b.random.IntN(500)) + " delivered?"}},
		})
	}
	for _, at := range b.arrivals(daySeconds, 2) {
		b.add(at, replay.Entry{
			Workspace: "macons", Service: "modele-devis", MaxTokens: 24,
			Prompt: []replay.PromptPart{{Text: fmt.Sprintf("How heavy is slab %d?", b.random.IntN(5000))}},
		})
	}
	b.calls(daySeconds, 5, "pesee", "app-carriere", "/weighings", "weighing", 0)
	b.calls(daySeconds, 2, "commandes", "app-carriere", "/orders", "order", 1)
	return b.trace
}

// calls adds calls of a plain service; runs states how often each may run.
func (b *builder) calls(seconds, perSecond float64, workspace, service, path, prefix string, runs int) {
	for i, at := range b.arrivals(seconds, perSecond) {
		reference := fmt.Sprintf("%s-%d", prefix, i)
		b.add(at, replay.Entry{
			Workspace: workspace, Service: service, Method: http.MethodPost, Path: path, Reference: reference,
			Body:   fmt.Sprintf(`{"reference":%q,"tonnes":%d}`, reference, 1+b.random.IntN(40)),
			Expect: replay.Expect{Runs: runs},
		})
	}
}

// amakusa: clerks' quotes and confirmations in day hours, with reviews,
// briefings and summaries that may wait.
func amakusa() *replay.Trace {
	b := newBuilder("amakusa-day", 2, []string{"clerks", "forwarders", "customs", "shippers", "reviews"})
	b.documents("rates", 6, 24000)
	b.documents("tariff", 10, 60000)
	b.trace.Header.Ledger = &replay.Ledger{Workspace: "clerks", Service: "quote-desk", Path: "/ledger"}
	for _, workspace := range []string{"clerks", "forwarders"} {
		for _, at := range b.arrivals(daySeconds, 4) {
			b.add(at, replay.Entry{
				Workspace: workspace, Service: "plankridge-llm", Stream: true, MaxTokens: 40,
				Prompt: []replay.PromptPart{{Document: fmt.Sprintf("rates-%d", b.random.IntN(6))}, {Text: fmt.Sprintf("\nQuote lane %d for two containers.", b.random.IntN(300))}},
			})
		}
	}
	for _, at := range b.arrivals(daySeconds, 1.2) {
		b.add(at, replay.Entry{
			Workspace: "reviews", Service: "plankridge-llm", Class: "deferrable", Async: true, MaxTokens: 64,
			Prompt: []replay.PromptPart{{Document: fmt.Sprintf("tariff-%d", b.random.IntN(10))}, {Text: fmt.Sprintf("\nReview chapter %d.", b.random.IntN(90))}},
		})
	}
	for _, at := range b.arrivals(daySeconds, 1) {
		b.add(at, replay.Entry{
			Workspace: "customs", Service: "plankridge-llm", MaxTokens: 32,
			Prompt: []replay.PromptPart{{Document: fmt.Sprintf("rates-%d", b.random.IntN(6))}, {Text: "\nList the papers for lane " + fmt.Sprint(b.random.IntN(300)) + "."}},
		})
	}
	b.calls(daySeconds, 5, "shippers", "quote-desk", "/quotes", "quote", 0)
	b.calls(daySeconds, 2, "clerks", "quote-desk", "/confirmations", "confirmation", 1)
	return b.trace
}
