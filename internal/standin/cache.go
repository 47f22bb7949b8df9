package standin

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the size of one block of the prefix cache.
const blockTokens = 16

// prefixCache simulates the prompt prefix cache of an engine: an LRU cache of blocks, keyed by a hash of the prefix that ends
// with the block.
type prefixCache struct {
	capacityBlocks        int
	blocks                map[uint64]*list.Element
	byRecency             *list.List // of block keys (uint64), the most recently used first
	hitTokens, missTokens uint64     // since the cache was created
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacityBlocks: max(tokens/blockTokens, 1), blocks: make(map[uint64]*list.Element), byRecency: list.New()}
}

// add adds the prompt to the cache and returns the number of its tokens that were not covered by a cached prefix.
func (c *prefixCache) add(model, prompt string) (uncached int) {
	words := strings.Fields(prompt)
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	prefixCached := true // all blocks so far are cached
	for len(words) > 0 {
		n := min(blockTokens, len(words))
		for _, word := range words[:n] {
			_, _ = hash.WriteString(word)
			_, _ = hash.WriteString(" ")
		}
		words = words[n:]
		key := hash.Sum64()
		found, ok := c.blocks[key]
		if prefixCached = prefixCached && ok; !prefixCached {
			uncached += n
			c.missTokens += uint64(n)
		} else {
			c.hitTokens += uint64(n)
		}
		if ok {
			c.byRecency.MoveToFront(found)
			continue
		}
		c.blocks[key] = c.byRecency.PushFront(key)
		if c.byRecency.Len() > c.capacityBlocks {
			oldest := c.byRecency.Back()
			delete(c.blocks, oldest.Value.(uint64))
			c.byRecency.Remove(oldest)
		}
	}
	return uncached
}

// usedRatio returns the share of the capacity that is in use, 0 to 1.
func (c *prefixCache) usedRatio() float64 {
	return float64(c.byRecency.Len()) / float64(c.capacityBlocks)
}
