package agreed

import (
	"fmt"
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Retention of key records.
const (
	// KeyRetention is the time for which a key with an outcome is kept.
	KeyRetention = 24 * time.Hour
	// PendingRetention is the time for which a claim without a proved outcome is kept. No deadline exceeds 24 h, so such a
	// claim cannot be live any more; the rest leaves callers time to ask.
	PendingRetention = 7 * 24 * time.Hour
)

// Limits bound the state. Zero fields stand for the defaults.
type Limits struct {
	// Keys is the number of key records. Default 1<<20, about 80 MB: 12 claims a second, averaged over 24 h.
	Keys int
	// KeysPerOrganisation leaves room for the others when one organisation floods the table. Default half of Keys.
	KeysPerOrganisation int
	// Uses is the number of recorded uses. Default 1<<20; 4,200 servers used by all 210 organisations make 882,000.
	Uses int
}

func (l Limits) withDefaults() Limits {
	if l.Keys == 0 {
		l.Keys = 1 << 20
	}
	if l.KeysPerOrganisation == 0 {
		l.KeysPerOrganisation = max(l.Keys/2, 1)
	}
	if l.Uses == 0 {
		l.Uses = 1 << 20
	}
	return l
}

// MaxKeyBytes bounds an idempotency key.
const MaxKeyBytes = 256

// keyStore holds all key records: those of the last 24 h in claim order, and older ones whose outcome is not proved.
type keyStore struct {
	table         keyTable
	old           map[keyID]KeyRecord
	organisations names
	servers       names
	perOwner      []int // records by organisation
	clock         uint32
}

func (k *keyStore) count() int { return k.table.count + len(k.old) }

func (k *keyStore) get(id keyID) *KeyRecord {
	if record := k.table.get(id); record != nil {
		return record
	}
	if record, ok := k.old[id]; ok {
		return &record
	}
	return nil
}

// update stores a changed record that get returned.
func (k *keyStore) update(record *KeyRecord) {
	if _, ok := k.old[record.ID]; ok {
		k.old[record.ID] = *record
	}
}

// advance sets the time of the next claim. It never runs backwards, so records expire in the order of their claims. A
// refused claim advances it too, otherwise a full table would never expire.
func (k *keyStore) advance(at int64) {
	k.clock = max(k.clock, uint32(min(max(at, 0), math.MaxUint32)))
}

func (k *keyStore) describe(r *KeyRecord) *ClaimRecord {
	return &ClaimRecord{
		Attempt: r.Attempt, Server: fleet.ServerID(k.servers.list[r.Server]), Boot: fleet.Boot(r.Boot),
		Outcome: r.Outcome, Status: r.Status, At: int64(r.At),
	}
}

func (s *State) claimKey(index uint64, c *ClaimKey) Result {
	if result, ok := checkClaim(&c.Claim); !ok {
		return result
	}
	s.keys.advance(c.At)
	id := keyIDOf(c.Claim.Organisation, c.Claim.Key)
	record := s.keys.get(id)
	if record == nil {
		return s.newClaim(index, id, &c.Claim)
	}
	switch {
	case record.Digest != c.Claim.Digest:
		return otherRequest()
	case record.Attempt == c.Claim.Attempt:
		return Result{Code: Repeated, Index: index, Claim: s.keys.describe(record)}
	case record.Outcome == NotRun:
		return s.replace(index, record, &c.Claim)
	}
	return Result{Code: Existing, Claim: s.keys.describe(record)}
}

func otherRequest() Result {
	return Result{Code: OtherRequest, Detail: "the idempotency key was used for another request: use a new key"}
}

func checkClaim(c *Claim) (Result, bool) {
	if c.Key == "" || len(c.Key) > MaxKeyBytes || c.Attempt == (Attempt{}) || !nameFits(string(c.Server)) ||
		!nameFits(string(c.Organisation)) {
		return Result{Code: Refused, Detail: fmt.Sprintf(
			"the claim lacks a field, a name in it is too long, or its key exceeds %d bytes: shorten the key", MaxKeyBytes)}, false
	}
	return Result{}, true
}

func (s *State) newClaim(index uint64, id keyID, c *Claim) Result {
	if s.keys.count() >= s.limits.Keys {
		return Result{Code: Full, Detail: fmt.Sprintf("the group holds %d key records: try again when older ones have expired",
			s.keys.count())}
	}
	owner := s.keys.organisations.intern(string(c.Organisation))
	if held := s.keys.owned(owner); held >= s.limits.KeysPerOrganisation {
		return Result{Code: Full, Detail: fmt.Sprintf(
			"the organisation holds %d key records: try again when older ones have expired", held)}
	}
	record := KeyRecord{ID: id, Digest: c.Digest, Attempt: c.Attempt, Boot: uint64(c.Boot), At: s.keys.clock,
		Server: s.keys.servers.intern(string(c.Server)), Organisation: owner}
	s.keys.table.add(record)
	s.keys.perOwner[owner]++
	return Result{Code: OK, Index: index, Claim: s.keys.describe(&record)}
}

// owned returns the number of records of an organisation.
func (k *keyStore) owned(owner uint32) int {
	for len(k.perOwner) <= int(owner) {
		k.perOwner = append(k.perOwner, 0)
	}
	return k.perOwner[owner]
}

func (s *State) replaceClaim(index uint64, c *ReplaceClaim) Result {
	if result, ok := checkClaim(&c.Claim); !ok {
		return result
	}
	s.keys.advance(c.At)
	record := s.keys.get(keyIDOf(c.Claim.Organisation, c.Claim.Key))
	switch {
	case record == nil:
		return Result{Code: NotFound, Detail: "there is no claim of the key to replace: claim it"}
	case record.Digest != c.Claim.Digest:
		return otherRequest()
	case record.Attempt == c.Claim.Attempt:
		return Result{Code: Repeated, Index: index, Claim: s.keys.describe(record)}
	case record.Attempt != c.NotRun || record.Outcome == Done:
		return Result{Code: Existing, Claim: s.keys.describe(record)}
	}
	return s.replace(index, record, &c.Claim)
}

// replace makes the claim of another attempt in the place of one that did not run. The record moves to the end of the
// claim order, so that its retention starts again.
func (s *State) replace(index uint64, record *KeyRecord, c *Claim) Result {
	next := *record
	next.Attempt, next.Boot, next.Outcome, next.Status = c.Attempt, uint64(c.Boot), Pending, 0
	next.Server, next.At = s.keys.servers.intern(string(c.Server)), s.keys.clock
	if _, old := s.keys.old[next.ID]; old {
		delete(s.keys.old, next.ID)
	} else {
		s.keys.table.remove(next.ID)
	}
	s.keys.table.add(next)
	return Result{Code: OK, Index: index, Claim: s.keys.describe(&next)}
}

// recordOutcomes stores outcomes. Done goes before all others, as a wrong one only keeps an order from running, and
// Unknown gives way to a proved one. Outcomes of attempts whose claim was replaced are ignored.
func (s *State) recordOutcomes(index uint64, c *RecordOutcomes) Result {
	changed := 0
	for i := range c.Outcomes {
		o := &c.Outcomes[i]
		record := s.keys.get(keyIDOf(o.Organisation, o.Key))
		if record == nil || record.Attempt != o.Attempt || o.Outcome == Pending || o.Outcome > Unknown ||
			record.Outcome == Done || record.Outcome == o.Outcome || (record.Outcome == NotRun && o.Outcome != Done) {
			continue
		}
		record.Outcome, record.Status = o.Outcome, o.Status
		s.keys.update(record)
		changed++
	}
	return Result{Code: OK, Index: index, Count: changed}
}

// expireKeys drops key records past their retention. A claim without a proved outcome is set aside instead of dropped.
// The cut-off follows the earlier of the leader's time and the newest claim, so that one fast clock drops nothing early.
func (s *State) expireKeys(index uint64, c *ExpireKeys) Result {
	now := min(c.Now, int64(s.keys.clock))
	cutoff := now - int64(KeyRetention/time.Second)
	dropped := 0
	for {
		record := s.keys.table.oldest()
		if record == nil || int64(record.At) > cutoff {
			break
		}
		if record.proved() {
			s.keys.perOwner[record.Organisation]--
			dropped++
		} else {
			s.keys.old[record.ID] = *record
		}
		s.keys.table.remove(record.ID)
	}
	pendingCutoff := now - int64(PendingRetention/time.Second)
	for id, record := range s.keys.old { // the order does not matter: each record is judged by itself
		if record.proved() || int64(record.At) <= pendingCutoff {
			s.keys.perOwner[record.Organisation]--
			delete(s.keys.old, id)
			dropped++
		}
	}
	s.keys.compactNames()
	return Result{Code: OK, Index: index, Count: dropped}
}

func (r *KeyRecord) proved() bool { return r.Outcome == Done || r.Outcome == NotRun }

// Lookup returns the claim of a key, nil if there is none.
func (s *State) Lookup(organisation fleet.Organisation, key string) *ClaimRecord {
	record := s.keys.get(keyIDOf(organisation, key))
	if record == nil {
		return nil
	}
	return s.keys.describe(record)
}

// Keys returns the number of key records.
func (s *State) Keys() int { return s.keys.count() }
