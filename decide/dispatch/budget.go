package dispatch

import "time"

// budgetBins is the number of bins of the sliding window; the oldest bin is dropped as a whole.
const budgetBins = 20

// retryBudget counts requests and retries of one service in a sliding window.
type retryBudget struct {
	binWidth  time.Duration
	newestBin int64 // in bin widths since the Unix epoch
	requests  [budgetBins]int
	retries   [budgetBins]int
}

func newRetryBudget(window time.Duration) *retryBudget {
	return &retryBudget{binWidth: max(window/budgetBins, time.Millisecond)}
}

// advanceTo clears the bins that have left the window and returns the index of the bin of now.
func (b *retryBudget) advanceTo(now time.Time) int {
	bin := now.UnixNano() / int64(b.binWidth)
	if bin-b.newestBin >= budgetBins {
		b.requests, b.retries = [budgetBins]int{}, [budgetBins]int{}
		b.newestBin = bin
	}
	for b.newestBin < bin {
		b.newestBin++
		b.requests[b.newestBin%budgetBins], b.retries[b.newestBin%budgetBins] = 0, 0
	}
	return int(b.newestBin % budgetBins)
}

func (b *retryBudget) addRequest(now time.Time) { b.requests[b.advanceTo(now)]++ }
func (b *retryBudget) addRetry(now time.Time)   { b.retries[b.advanceTo(now)]++ }

// allowsRetry reports whether one more retry keeps the retries of the window within ratio x its requests + slack.
func (b *retryBudget) allowsRetry(now time.Time, ratio, slack float64) bool {
	b.advanceTo(now)
	requests, retries := 0, 0
	for i := range budgetBins {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return float64(retries+1) <= ratio*float64(requests)+slack
}
