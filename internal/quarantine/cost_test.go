package quarantine

import (
	"testing"
	"time"
)

// BenchmarkAnswersWithParts measures what a request with four parts costs while servers have exited:
// its digests, the check before it is sent, and its answer.
func BenchmarkAnswersWithParts(b *testing.B) {
	q := New()
	for server := range ServerInstance(40) {
		exitUnder(q, server, 1, requestWith(Digest(server), Digest(server), 7000+Digest(server)))
	}
	now := at(2)
	body := make([]byte, 4096)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		f := Fingerprint{
			Content: DigestOf("quarry", "POST", "calls.example", "/s/x", body),
			Parts:   PartDigests("llm", "quarry", []string{"5c1e07a2", "91bd3f06", "e4402b7d", "77a0"}),
		}
		q.Blocked(f, now)
		q.RecordAnswer(f, true, now)
	}
}

// BenchmarkEvaluateAfterLostRack measures an evaluation after 40 servers with 16 requests each have
// exited, whose requests have three parts that nobody has answered.
func BenchmarkEvaluateAfterLostRack(b *testing.B) {
	q := New()
	for server := range ServerInstance(40) {
		var lost []Fingerprint
		for i := range 16 {
			n := Digest(int(server)*16 + i)
			lost = append(lost, requestWith(n, 20000+n/4, 30000+n/8, 40000+n%50))
		}
		exitUnder(q, server, 1+float64(server)/100, lost...)
	}
	now := at(3)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q.changeCount++
		q.Evaluate(now, settleDelay)
	}
}
