package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
)

// Parameters of the simulated engine. As with continuous batching and chunked prefill, one step computes a chunk of one
// prompt and one token for each decoding request.
const (
	stepBase      = 12 * time.Millisecond  // fixed time of a step
	stepPerToken  = 900 * time.Microsecond // for each decoding request
	stepPerBlock  = 4 * time.Millisecond   // for each prompt block computed
	blocksPerStep = 2                      // prompt blocks computed in one step: 256 tokens
	engineLimit   = 20                     // concurrent requests that the agent admits
	cacheBlocks   = 2000                   // capacity of the prefix cache in prompt blocks
	slowFactor    = 1.6                    // step time of an engine in a group with a slow rank
)

// modelJob is a request at a simulated engine.
type modelJob struct {
	request    int
	blocks     []uint64
	computed   int // prompt blocks that are cached or computed
	cached     int // prompt blocks found in the cache
	tokensLeft int // tokens still to generate
	lastToken  time.Duration
}

// modelEngine is one engine in virtual time.
type modelEngine struct {
	slow      bool
	busy      bool // a step is in progress
	computing int  // prompt blocks computed in the current step
	prefills  []*modelJob
	decodes   []*modelJob
	cache     blockCache
	sequence  uint64 // of load reports
	events    uint64 // of cache events
}

func (e *modelEngine) inFlight() int { return len(e.prefills) + len(e.decodes) }

// admit starts a request and returns false if the agent refuses it.
func (e *modelEngine) admit(j *modelJob) bool {
	if e.inFlight() >= engineLimit {
		return false
	}
	j.cached = e.cache.cachedPrefix(j.blocks)
	// The last block is always computed, because it yields the first token.
	j.computed = min(j.cached, len(j.blocks)-1)
	e.prefills = append(e.prefills, j)
	return true
}

// startStep starts a step and returns its duration.
func (e *modelEngine) startStep() time.Duration {
	e.busy, e.computing = true, 0
	if len(e.prefills) > 0 {
		e.computing = min(blocksPerStep, len(e.prefills[0].blocks)-e.prefills[0].computed)
	}
	duration := stepBase + time.Duration(len(e.decodes))*stepPerToken + time.Duration(e.computing)*stepPerBlock
	if e.slow {
		duration = time.Duration(float64(duration) * slowFactor)
	}
	return duration
}

// blockCache is a prefix cache that evicts the least recently used block.
type blockCache struct {
	stamps map[uint64]uint64
	queue  []stampedBlock // least recent first; entries that are not the latest use of their block are skipped
	head   int
	clock  uint64
}

type stampedBlock struct{ block, stamp uint64 }

// cachedPrefix returns the number of leading blocks that are cached.
func (c *blockCache) cachedPrefix(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.stamps[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// add stores the blocks and returns those that were new and those that were evicted. It touches the last block first, so
// that the end of a prefix is evicted before its start.
func (c *blockCache) add(blocks []uint64) (stored, evicted []uint64) {
	if c.stamps == nil {
		c.stamps = make(map[uint64]uint64, cacheBlocks)
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if _, ok := c.stamps[blocks[i]]; !ok {
			stored = append(stored, blocks[i])
		}
		c.clock++
		c.stamps[blocks[i]] = c.clock
		c.queue = append(c.queue, stampedBlock{blocks[i], c.clock})
	}
	for len(c.stamps) > cacheBlocks {
		oldest := c.queue[c.head]
		c.head++
		if c.stamps[oldest.block] == oldest.stamp {
			delete(c.stamps, oldest.block)
			evicted = append(evicted, oldest.block)
		}
	}
	if c.head > len(c.queue)/2 {
		c.queue = append(c.queue[:0], c.queue[c.head:]...)
		c.head = 0
	}
	return stored, evicted
}

// promptSource generates prompts: each organisation has a common system prompt, and conversations grow with each turn.
type promptSource struct {
	rng           *rand.Rand
	organisations int
	sessions      [][]uint64 // prompts of open conversations
}

// next returns the blocks of the next prompt. Three of five requests continue a conversation.
func (p *promptSource) next() []uint64 {
	const maxSessions, maxTurnBlocks, sessionEndBlocks = 2000, 4, 40
	if len(p.sessions) > 0 && p.rng.Float64() < 0.6 {
		i := p.rng.IntN(len(p.sessions))
		grown := p.sessions[i]
		for range 1 + p.rng.IntN(maxTurnBlocks) {
			grown = append(grown[:len(grown):len(grown)], p.rng.Uint64())
		}
		p.sessions[i] = grown
		if len(grown) >= sessionEndBlocks {
			p.sessions[i] = p.sessions[len(p.sessions)-1]
			p.sessions = p.sessions[:len(p.sessions)-1]
		}
		return grown
	}
	// The square skews the load towards a few large organisations.
	u := p.rng.Float64()
	organisation := uint64(u * u * float64(p.organisations))
	systemPromptBlocks := 4 + int(organisation*7%13)
	source := rand.New(rand.NewPCG(organisation, 1))
	prompt := make([]uint64, 0, systemPromptBlocks+maxTurnBlocks)
	for range systemPromptBlocks {
		prompt = append(prompt, source.Uint64())
	}
	for range 1 + p.rng.IntN(maxTurnBlocks) {
		prompt = append(prompt, p.rng.Uint64())
	}
	if len(p.sessions) < maxSessions {
		p.sessions = append(p.sessions, prompt)
	} else {
		p.sessions[p.rng.IntN(maxSessions)] = prompt
	}
	return prompt
}

// modelEntry is a simulated entry instance with its own snapshot of the engines, policy and affinity table.
type modelEntry struct {
	snapshot *fleet.Snapshot
	policy   routing.Policy
	affinity *routing.Affinity // nil for baselines
	rng      *rand.Rand
}

// applyReport applies an engine's load report to the snapshot.
func (e *modelEntry) applyReport(l fleet.Load, position int) {
	server := &e.snapshot.Servers[position]
	server.Load = l
	server.Counter.ReportReceived(l.Sequence)
}
