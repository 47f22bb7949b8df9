package standin

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the unit of the prefix cache, in tokens.
const blockTokens = 16

// prefixCache holds which prompt prefixes are computed, in blocks, dropping the least recently used.
type prefixCache struct {
	capacity     int // in blocks
	blocks       map[uint64]*list.Element
	recent       *list.List // of uint64, the most recently used first
	hits, misses uint64     // prompt tokens
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: max(tokens/blockTokens, 1), blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// fill returns the number of prompt tokens that have to be computed, and adds the prompt to the cache.
func (c *prefixCache) fill(model, prompt string) (missing int) {
	words := strings.Fields(prompt)
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	prefix := true // every block so far was found
	for len(words) > 0 {
		n := min(blockTokens, len(words))
		for _, word := range words[:n] {
			_, _ = hash.WriteString(word)
			_, _ = hash.WriteString(" ")
		}
		words = words[n:]
		key := hash.Sum64()
		found, ok := c.blocks[key]
		if prefix = prefix && ok; !prefix {
			missing += n
			c.misses += uint64(n)
		} else {
			c.hits += uint64(n)
		}
		if ok {
			c.recent.MoveToFront(found)
			continue
		}
		c.blocks[key] = c.recent.PushFront(key)
		if c.recent.Len() > c.capacity {
			oldest := c.recent.Back()
			delete(c.blocks, oldest.Value.(uint64))
			c.recent.Remove(oldest)
		}
	}
	return missing
}

// used returns the used share, 0 to 1.
func (c *prefixCache) used() float64 { return float64(c.recent.Len()) / float64(c.capacity) }
