package experts

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against two coordinators that give different maps the same version: ranks compare versions, not maps.
func TestChangeNumbersAreUnique(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		issued := map[uint64]int{}
		var issuers []*ChangeNumbers
		for lease := range uint64(4) {
			issuers = append(issuers, &ChangeNumbers{Lease: 7 + lease}, &ChangeNumbers{Lease: 7 + lease, Deputy: true})
		}
		highest := uint64(0)
		for range 200 {
			i := random.IntN(len(issuers))
			seen := highest
			if random.IntN(2) == 0 {
				seen = random.Uint64N(highest + 1) // late reports
			}
			number, ok := issuers[i].Next(seen)
			if !ok {
				continue
			}
			if by, used := issued[number]; used || number <= seen {
				t.Fatalf("seed %d: issuer %d issues %d, which %d has issued, above %d", seed, i, number, by, seen)
			}
			issued[number] = i
			highest = max(highest, number)
		}
	}
}

// Guards against an instance that goes on changing maps after its lease has passed to another one.
func TestLateCoordinatorIssuesNoNumber(t *testing.T) {
	is := is.New(t)
	earlier, later := &ChangeNumbers{Lease: 5}, &ChangeNumbers{Lease: 9}
	number, ok := later.Next(0)
	is.True(ok)
	_, ok = earlier.Next(number)
	is.True(!ok)
	_, ok = (&ChangeNumbers{Lease: 9, Deputy: true}).Next(number)
	is.True(ok)
}

// Guards against encoded lists that lose an expert, and against input that allocates without limit.
func TestRankListsEncoding(t *testing.T) {
	is := is.New(t)
	m, err := EvenMap(3, 300, 64, 6)
	is.NoErr(err)
	lists := m.RankLists(64)
	data := lists.Encode()
	decoded, err := DecodeRankLists(data)
	is.NoErr(err)
	is.Equal(decoded, lists)
	for _, malformed := range [][]byte{nil, data[:len(data)-1], {0xff, 0xff, 0xff, 0xff, 0x0f}, {2, 200, 1}} {
		_, err = DecodeRankLists(malformed)
		is.True(err != nil)
	}
}
