// Package evidence holds the sequential statistical tests that decide whether a
// canary version of a pool is worse than the version it replaces. It neither
// assigns requests to versions nor rolls a version back: package move runs the
// canary release (a "move") and acts on the results, and so does package rollout
// for the services of the platform.
//
// Every instance counts the outcome of its requests in a CounterSet: cumulative
// counters by route, target and concurrency. A request is counted when it has ended,
// as an Observation, or from its start, as an Attempt. A request that has not ended,
// or was given up, shows that it takes at least its time: it counts as slow once it
// has outlasted the limit of a test, and not before. About once a
// second it sends a report to the Analyzer of the move, in one or more
// ReportParts, which an Assembler joins. Since the counters are cumulative, a
// lost report does no harm: the next one covers it. The Analyzer adds the
// difference of two reports of one instance to the open windows, and its Verdict
// gives the result.
//
// Within a window, requests of one route were assigned to the old and the new
// version at random. If the new version is no worse, the labels "old" and "new"
// are therefore exchangeable among the requests of one stratum (route, failure
// domain, hardware generation, concurrency, prompt size), however many of them
// went badly. Given the number of bad events in the stratum, the number that
// fell on the new version is hypergeometric, and the likelihood ratio of a
// tilted hypergeometric against it has mean one. The product over windows is a
// test martingale: by Ville's inequality it ever exceeds 1/alpha with
// probability at most alpha. Frequent checks therefore do not raise the error
// rate, and a slowdown of the whole pool or of a failure domain cancels out.
//
// Invariants:
//   - a regression is found at once only from windows with both versions in one
//     stratum; a comparison with the old version's past must persist first, and
//     crashes are tested separately, against a base rate;
//   - the weights of all tests of an Analyzer sum to at most one, so its error
//     rate holds for all of them together;
//   - a regression that shows on a single target is not attributed to the
//     version while other targets of the version serve without it.
package evidence

import (
	"math"
	"time"

	"github.com/hibiscuspost/hibiscuspost/internal/tables"
)

// FailureKind classifies failed requests.
type FailureKind uint8

// The failure kinds.
const (
	// FailureNone is the kind of a request that did not fail.
	FailureNone FailureKind = iota
	// FailureBadResponse is a response with an error status or an incorrect body.
	FailureBadResponse
	// FailureIncompleteStream is a stream that was closed normally but without its
	// end marker.
	FailureIncompleteStream
	// FailureTimeout is a response that did not arrive in time.
	FailureTimeout
	// FailureConnectionLost is a connection that was lost after the request was
	// sent, since the target or the network path to it failed. It counts as one
	// crash of the target, however many requests it interrupted.
	FailureConnectionLost
	// FailureUnreachable is a refused connection. No request ran, so it is no
	// evidence about the version; routing avoids the target.
	FailureUnreachable
)

// Observation is the outcome of one request.
type Observation struct {
	Pool          string
	Version       string
	Route         string
	Target        string
	FailureDomain string
	// Generation is the hardware generation of the target; empty when unknown.
	Generation string
	Tier       tables.Tier
	Failed     bool
	// Failure is ignored unless Failed is set.
	Failure FailureKind
	// TimeToFirstToken is zero for non-streaming requests.
	TimeToFirstToken time.Duration
	// TotalDuration is the time to the end of the response.
	TotalDuration time.Duration
	PromptTokens  int
	// CachedTokens is the number of prompt tokens that needed no prefill.
	CachedTokens int
	OutputTokens int
	// RunningRequests is the number of requests at the target when this one
	// started, as known to the instance.
	RunningRequests int
}

// BucketCount is the number of histogram buckets; each covers a quarter octave.
const BucketCount = 64

const (
	bucketsPerOctave = 4
	// minBucketDuration is the lower end of the histogram.
	minBucketDuration = 20 * time.Microsecond
	// fixedPromptTokens represents the part of the time to first token that does
	// not depend on the prompt.
	fixedPromptTokens = 64
	// nonStreamingScale divides the duration of a non-streaming request, so that it
	// falls into the range of the histogram.
	nonStreamingScale = 64
)

// sizeBandCount is the number of bands of uncached prompt tokens. A cold prefix
// cache moves requests to a higher band; bands are never compared with each
// other.
const sizeBandCount = 4

// sizeBandLimits are the upper ends of all bands but the last, in tokens.
var sizeBandLimits = [sizeBandCount - 1]int{128, 512, 2048}

func sizeBand(uncached int) int {
	for band, limit := range sizeBandLimits {
		if uncached <= limit {
			return band
		}
	}
	return sizeBandCount - 1
}

// loadBand returns the concurrency band, by powers of two: 0-1, 2-3, 4-7 and so
// on. The last band has no upper end.
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

// uncachedTokens returns the number of prompt tokens that needed prefill.
func (o *Observation) uncachedTokens() int { return max(o.PromptTokens-o.CachedTokens, 0) }

// firstTokenPerPromptToken returns the time to first token divided by the number
// of uncached prompt tokens.
func (o *Observation) firstTokenPerPromptToken() (time.Duration, bool) {
	if o.TimeToFirstToken <= 0 {
		return 0, false
	}
	return o.TimeToFirstToken / time.Duration(o.uncachedTokens()+fixedPromptTokens), true
}

// timePerOutputToken returns the time per output token after the first. For
// non-streaming requests it is a fixed fraction of the duration.
func (o *Observation) timePerOutputToken() (time.Duration, bool) {
	if o.TimeToFirstToken <= 0 {
		return o.TotalDuration / nonStreamingScale, o.TotalDuration > 0
	}
	if o.OutputTokens < 2 || o.TotalDuration <= o.TimeToFirstToken {
		return 0, false
	}
	return (o.TotalDuration - o.TimeToFirstToken) / time.Duration(o.OutputTokens-1), true
}
