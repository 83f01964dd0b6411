// Package evidence decides whether a new version is worse than the old one.
//
// Every entry counts its own requests in a Ledger: cumulative counters by
// route, target and concurrency. About once a second it sends a Report to the
// analyzer of the move. A report is one snapshot of all counters of a pool, so a
// lost report costs nothing: the next one covers it. The analyzer turns the
// difference of two reports of one entry into a window.
//
// Within a window, requests of one route were given to old and new at random.
// If the new version is no worse, the labels "old" and "new" are therefore
// exchangeable among requests of one stratum (route, failure domain,
// generation of hardware, concurrency, prompt size), however bad the window was
// for both. Given the number of bad events in the stratum, the number that fell
// on the new version is hypergeometric, and the likelihood ratio of a tilted
// hypergeometric against it has mean one. The product over windows is a test
// martingale: by Ville's inequality it exceeds 1/alpha at any time with
// probability at most alpha. Looking often costs nothing, and a slowdown of the
// whole pool or of a failure domain cancels out.
//
// Invariants:
//   - only windows with both versions in one stratum count against a version;
//   - all tests of a move are averaged into one process, so the stated error
//     rate holds for the move as a whole;
//   - a target that fails alone is not the version's fault while another
//     target of the version serves well.
package evidence

import (
	"math"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// FailureKind tells how a request failed.
type FailureKind uint8

// The kinds of failure.
const (
	// FailureNone marks a request that did not fail.
	FailureNone FailureKind = iota
	// FailureBadResponse is an answer with an error status or a wrong body.
	FailureBadResponse
	// FailureIncompleteStream is a stream that ended in order without its explicit end.
	FailureIncompleteStream
	// FailureTimeout is an answer that did not come in time.
	FailureTimeout
	// FailureConnectionLost is a connection that broke after the request was sent: the
	// target or the path to it died. It counts as one crash of the target,
	// however many requests it cut.
	FailureConnectionLost
	// FailureUnreachable is a refused connection. Nothing ran, and it says
	// nothing about the version; routing avoids the target.
	FailureUnreachable
)

// Observation is the outcome of one request.
type Observation struct {
	Pool          string
	Version       string
	Route         string
	Target        string
	FailureDomain string
	// Generation names the hardware of the target; empty when unknown.
	Generation string
	Tier       tables.Tier
	Failed     bool
	// FailureKind tells how the request failed; it is ignored unless Failed is set.
	FailureKind FailureKind
	// TimeToFirstToken is the time to the first token; zero for plain calls.
	TimeToFirstToken time.Duration
	// Duration is the time to the end of the answer.
	Duration     time.Duration
	PromptTokens int
	// CachedTokens are the prompt tokens that needed no prefill.
	CachedTokens int
	OutputTokens int
	// RunningRequests is the number of requests at the target when this one started,
	// as the entry knows it.
	RunningRequests int
}

// BucketCount is the number of histogram buckets; each covers a quarter octave.
const BucketCount = 64

const (
	bucketsPerOctave = 4
	// minBucketDuration is the lower end of the histogram.
	minBucketDuration = 20 * time.Microsecond
	// fixedPromptTokens stands for the part of the first-token time that does
	// not depend on the prompt.
	fixedPromptTokens = 64
	// nonStreamingScale scales the time of a plain call into the histogram.
	nonStreamingScale = 64
)

// sizeBandCount is the number of classes of uncached prompt tokens; cold prefix
// caches move requests between classes and are never compared across them.
const sizeBandCount = 4

// sizeBandLimits are the upper ends of all classes but the last, in tokens.
var sizeBandLimits = [sizeBandCount - 1]int{128, 512, 2048}

func sizeBand(uncached int) int {
	for band, limit := range sizeBandLimits {
		if uncached <= limit {
			return band
		}
	}
	return sizeBandCount - 1
}

// loadBand groups concurrencies by factors of two: 0-1, 2-3, 4-7 and so on.
func loadBand(running int) uint8 {
	band := uint8(0)
	for running > 1 && band < maxLoadBand {
		running >>= 1
		band++
	}
	return band
}

const maxLoadBand = 7

func bucket(d time.Duration) int {
	if d <= minBucketDuration {
		return 0
	}
	octaves := math.Log2(float64(d) / float64(minBucketDuration))
	return min(int(octaves*bucketsPerOctave), BucketCount-1)
}

// uncachedTokens returns the prompt tokens that needed prefill.
func (o *Observation) uncachedTokens() int { return max(o.PromptTokens-o.CachedTokens, 0) }

// firstTokenPerPromptToken returns the first-token time for each uncached prompt token.
func (o *Observation) firstTokenPerPromptToken() (time.Duration, bool) {
	if o.TimeToFirstToken <= 0 {
		return 0, false
	}
	return o.TimeToFirstToken / time.Duration(o.uncachedTokens()+fixedPromptTokens), true
}

// timePerOutputToken returns the time for each output token after the first; for plain
// calls it is a fixed share of the total.
func (o *Observation) timePerOutputToken() (time.Duration, bool) {
	if o.TimeToFirstToken <= 0 {
		return o.Duration / nonStreamingScale, o.Duration > 0
	}
	if o.OutputTokens < 2 || o.Duration <= o.TimeToFirstToken {
		return 0, false
	}
	return (o.Duration - o.TimeToFirstToken) / time.Duration(o.OutputTokens-1), true
}
