package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// MaxPartsPerRequest limits the parts of one prompt that are considered; further ones are not told apart.
	MaxPartsPerRequest = 64
	// maxPartBytes limits the name of a part. A longer one is replaced by its digest.
	maxPartBytes = 64
	digestPrefix = "digest:"
)

// PartsOf returns the parts under which the ends of engines are recorded for a prompt whose caller names the given ones. Callers
// choose number and length of the names, which are kept, sent to all instances and written to disks.
func PartsOf(names []string) []string {
	parts := make([]string, 0, min(len(names), MaxPartsPerRequest))
	for _, name := range names[:min(len(names), MaxPartsPerRequest)] {
		if len(name) > maxPartBytes {
			digest := sha256.Sum256([]byte(name))
			name = digestPrefix + hex.EncodeToString(digest[:16])
		}
		parts = append(parts, name)
	}
	return parts
}
