package routing

import (
	"encoding/binary"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the length of a prompt block in bytes: about 128 tokens.
	PrefixBlockBytes = 512
	// MaxPrefixBlocks is the most blocks of one prompt that are hashed and looked up: 32 KiB of text.
	MaxPrefixBlocks = 64
)

// AppendPrefix appends the chained hashes of the prompt's full blocks to dst. Each hash covers the target and the prompt
// up to the end of its block, so that equal hashes mean equal prefixes for the same model, adapter and version.
func AppendPrefix(dst []uint64, target fleet.Target, prompt []byte) []uint64 {
	chain := xxhash.Sum64String(target.Name)
	chain = chain*31 + xxhash.Sum64String(target.Adapter)
	chain = chain*31 + xxhash.Sum64String(target.Version)
	var buffer [8 + PrefixBlockBytes]byte
	for n := 0; n < MaxPrefixBlocks && len(prompt) >= PrefixBlockBytes; n++ {
		binary.LittleEndian.PutUint64(buffer[:8], chain)
		copy(buffer[8:], prompt[:PrefixBlockBytes])
		chain = xxhash.Sum64(buffer[:])
		dst = append(dst, chain)
		prompt = prompt[PrefixBlockBytes:]
	}
	return dst
}
