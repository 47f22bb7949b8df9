package statemachine

import (
	"fmt"
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Retention of key records.
const (
	// KeyRetention is how long a key with a proven outcome is kept.
	KeyRetention = 24 * time.Hour
	// PendingRetention is how long a claim without a proven outcome is kept. No deadline exceeds 24 h, so the attempt
	// has ended long before; the remaining days leave callers time to query the outcome.
	PendingRetention = 7 * 24 * time.Hour
)

// Limits bound the size of the state. Zero fields select the defaults.
type Limits struct {
	// Keys is the maximum number of key records. Default 1<<20, about 80 MB, which allows 12 claims/s averaged over 24 h.
	Keys int
	// KeysPerOrganisation keeps one organisation from filling the table. Default half of Keys.
	KeysPerOrganisation int
	// Uses is the maximum number of recorded uses. Default 1<<20; 4,200 servers used by all 210 organisations need 882,000.
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

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 256

// keyStore holds all key records: those within KeyRetention in claim order, and older ones without a proven outcome.
type keyStore struct {
	table           keyTable
	unresolved      map[keyID]KeyRecord
	organisations   nameTable
	servers         nameTable
	perOrganisation []int // number of records per organisation
	clock           uint32
}

func (k *keyStore) size() int { return k.table.count + len(k.unresolved) }

func (k *keyStore) get(id keyID) *KeyRecord {
	if record := k.table.get(id); record != nil {
		return record
	}
	if record, ok := k.unresolved[id]; ok {
		return &record
	}
	return nil
}

// update stores changes to a record returned by get.
func (k *keyStore) update(record *KeyRecord) {
	if _, ok := k.unresolved[record.ID]; ok {
		k.unresolved[record.ID] = *record
	}
}

// advance moves the claim clock, in Unix seconds, up to at. The clock is monotonic, so records expire in claim order.
// Refused claims advance it too; otherwise records of a full table would never expire.
func (k *keyStore) advance(at int64) {
	k.clock = max(k.clock, uint32(min(max(at, 0), math.MaxUint32)))
}

func (k *keyStore) claimRecord(r *KeyRecord) *ClaimRecord {
	return &ClaimRecord{
		Attempt: r.Attempt, Server: fleet.ServerID(k.servers.names[r.Server]), Incarnation: fleet.Incarnation(r.Boot),
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
		return keyReused()
	case record.Attempt == c.Claim.Attempt:
		return Result{Code: Repeated, Index: index, Claim: s.keys.claimRecord(record)}
	case record.Outcome == NotRun:
		return s.replaceAttempt(index, record, &c.Claim)
	}
	return Result{Code: Existing, Claim: s.keys.claimRecord(record)}
}

func keyReused() Result {
	return Result{Code: KeyReused, Detail: "the idempotency key was used for another request: use a new key"}
}

func checkClaim(c *Claim) (Result, bool) {
	if c.Key == "" || len(c.Key) > MaxKeyBytes || c.Attempt == (AttemptID{}) || !nameFits(string(c.Server)) ||
		!nameFits(string(c.Organisation)) {
		return Result{Code: Refused, Detail: fmt.Sprintf(
			"the claim lacks a field, a name in it is too long, or its key exceeds %d bytes: shorten the key", MaxKeyBytes)}, false
	}
	return Result{}, true
}

func (s *State) newClaim(index uint64, id keyID, c *Claim) Result {
	if s.keys.size() >= s.limits.Keys {
		return Result{Code: Full, Detail: fmt.Sprintf("the group holds %d key records: try again when older ones have expired",
			s.keys.size())}
	}
	organisation := s.keys.organisations.intern(string(c.Organisation))
	if count := s.keys.organisationCount(organisation); count >= s.limits.KeysPerOrganisation {
		return Result{Code: Full, Detail: fmt.Sprintf(
			"the organisation holds %d key records: try again when older ones have expired", count)}
	}
	record := KeyRecord{ID: id, Digest: c.Digest, Attempt: c.Attempt, Boot: uint64(c.Incarnation), At: s.keys.clock,
		Server: s.keys.servers.intern(string(c.Server)), Organisation: organisation}
	s.keys.table.add(record)
	s.keys.perOrganisation[organisation]++
	return Result{Code: OK, Index: index, Claim: s.keys.claimRecord(&record)}
}

// organisationCount returns the number of records of an organisation, extending perOrganisation if needed.
func (k *keyStore) organisationCount(organisation uint32) int {
	for len(k.perOrganisation) <= int(organisation) {
		k.perOrganisation = append(k.perOrganisation, 0)
	}
	return k.perOrganisation[organisation]
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
		return keyReused()
	case record.Attempt == c.Claim.Attempt:
		return Result{Code: Repeated, Index: index, Claim: s.keys.claimRecord(record)}
	case record.Attempt != c.NotRun || record.Outcome == Done:
		return Result{Code: Existing, Claim: s.keys.claimRecord(record)}
	}
	return s.replaceAttempt(index, record, &c.Claim)
}

// replaceAttempt replaces the attempt of a claim, which did not run, by a new one. The record moves to the end of the
// claim order, which restarts its retention.
func (s *State) replaceAttempt(index uint64, record *KeyRecord, c *Claim) Result {
	next := *record
	next.Attempt, next.Boot, next.Outcome, next.Status = c.Attempt, uint64(c.Incarnation), Pending, 0
	next.Server, next.At = s.keys.servers.intern(string(c.Server)), s.keys.clock
	if _, unresolved := s.keys.unresolved[next.ID]; unresolved {
		delete(s.keys.unresolved, next.ID)
	} else {
		s.keys.table.remove(next.ID)
	}
	s.keys.table.add(next)
	return Result{Code: OK, Index: index, Claim: s.keys.claimRecord(&next)}
}

// recordOutcomes stores outcomes. Done overrides all others, since a wrong Done only keeps a request from running
// whereas a wrong NotRun could run it twice. A proven outcome overrides Unknown. Outcomes of attempts whose claim was
// replaced are ignored.
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

// expireKeys deletes key records past KeyRetention. Claims without a proven outcome move to unresolved, where they stay
// for PendingRetention. Ages are relative to the earlier of the leader's time and the newest claim, so that a single
// fast clock does not expire records early.
func (s *State) expireKeys(index uint64, c *ExpireKeys) Result {
	now := min(c.Now, int64(s.keys.clock))
	cutoff := now - int64(KeyRetention/time.Second)
	expired := 0
	for {
		record := s.keys.table.oldest()
		if record == nil || int64(record.At) > cutoff {
			break
		}
		if record.hasProvenOutcome() {
			s.keys.perOrganisation[record.Organisation]--
			expired++
		} else {
			s.keys.unresolved[record.ID] = *record
		}
		s.keys.table.remove(record.ID)
	}
	pendingCutoff := now - int64(PendingRetention/time.Second)
	for id, record := range s.keys.unresolved { // map order does not matter: each record is checked independently
		if record.hasProvenOutcome() || int64(record.At) <= pendingCutoff {
			s.keys.perOrganisation[record.Organisation]--
			delete(s.keys.unresolved, id)
			expired++
		}
	}
	s.keys.compactNames()
	return Result{Code: OK, Index: index, Count: expired}
}

func (r *KeyRecord) hasProvenOutcome() bool { return r.Outcome == Done || r.Outcome == NotRun }

// Lookup returns the claim of a key, or nil if there is none.
func (s *State) Lookup(organisation fleet.Organisation, key string) *ClaimRecord {
	record := s.keys.get(keyIDOf(organisation, key))
	if record == nil {
		return nil
	}
	return s.keys.claimRecord(record)
}

// Keys returns the number of key records.
func (s *State) Keys() int { return s.keys.size() }
