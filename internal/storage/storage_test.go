package storage_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

var small = storage.Options{SegmentBytes: 600}

func data(index uint64) []byte {
	return []byte(fmt.Sprintf("entry %d %s", index, strings.Repeat("x", int(index%40))))
}

// confirmed contains the highest index, state and snapshot that the store has reported as durable.
type confirmed struct{ index, state, snapshot uint64 }

// scenario appends and replaces entries, saves snapshots and compacts, for the indexes next to until or until the store
// fails.
func scenario(s *storage.Store, p *confirmed, next, until uint64) error {
	for ; next <= until; next++ {
		if err := s.Append(storage.Record{Index: next, Data: data(next)}, storage.Record{Index: next + 1, Data: []byte("replaced later")}); err != nil {
			return err
		}
		state := p.state
		if next%15 == 1 { // rarely, so that segments without it are common
			state = next
			if err := s.SetState([]byte(fmt.Sprint(next))); err != nil {
				return err
			}
		}
		if err := s.Sync(); err != nil {
			return err
		}
		p.index, p.state = next, state
		if next%10 == 0 {
			if err := s.SaveSnapshot(next-3, data(next-3)); err != nil {
				return err
			}
			p.snapshot = next - 3
			if err := s.Compact(next - 5); err != nil {
				return err
			}
		}
	}
	return nil
}

// check compares the contents found after a restart with those confirmed before.
func check(c *storage.Contents, p confirmed) error {
	var state uint64
	_, _ = fmt.Sscan(string(c.State), &state)
	last := uint64(0)
	for i, r := range c.Records {
		if i > 0 && r.Index != last+1 {
			return fmt.Errorf("gap after %d", last)
		}
		if last = r.Index; last <= p.index && string(r.Data) != string(data(last)) {
			return fmt.Errorf("entry %d changed to %q", last, r.Data)
		}
	}
	if last < p.index || state < p.state || c.SnapshotIndex < p.snapshot {
		return fmt.Errorf("found entries up to %d, state %d and snapshot %d, confirmed were %+v", last, state, c.SnapshotIndex, p)
	}
	if c.SnapshotIndex > 0 && (string(c.Snapshot) != string(data(c.SnapshotIndex)) || c.Records[0].Index > c.SnapshotIndex+1) {
		return fmt.Errorf("snapshot %d is damaged or does not meet the log", c.SnapshotIndex)
	}
	return nil
}

// Guards against the loss of confirmed data through a crash at any write, sync or rename, also when a second crash
// interrupts the recovery, and against a segment torn at its creation that is refused as corrupt.
func TestCrashAtEachOperation(t *testing.T) {
	incarnations := 0
	for seed := range uint64(8) {
		for at := 1; ; at++ {
			fsys := faultfs.New(rand.New(rand.NewPCG(seed, uint64(at))))
			if err := storage.Create(fsys, []byte("me")); err != nil {
				t.Fatal(err)
			}
			var p confirmed
			fsys.FailAt(at, faultfs.Crash)
			ended := false
			for incarnation := 0; incarnation < 4; incarnation++ {
				s, c, err := storage.Open(fsys, small)
				if err == nil {
					if err := check(c, p); err != nil {
						t.Fatalf("seed %d, crash at operation %d, incarnation %d: %v", seed, at, incarnation, err)
					}
					next := uint64(1)
					if n := len(c.Records); n > 0 {
						next = max(c.Records[n-1].Index, 2) - 1
					}
					next = max(next, p.index+1)
					err = scenario(s, &p, next, next+35)
					ended = ended || err == nil && incarnation == 0
				}
				if err != nil && !fsys.Crashed() {
					t.Fatalf("seed %d, crash at operation %d, incarnation %d: %v", seed, at, incarnation, err)
				}
				fsys.Restart()
				if incarnation == 0 {
					fsys.FailAt(1+at%7, faultfs.Crash)
				}
				incarnations++
			}
			if ended {
				break
			}
		}
	}
	t.Log(incarnations, "incarnations")
}

// Guards against a folder that is refused as corrupt after a loss of power while it was cleared: its member could never start again.
func TestCrashWhileClearing(t *testing.T) {
	is := is.New(t)
	cleared, intact := 0, 0
	for seed := range uint64(20) {
		for at := 1; at <= 12; at++ {
			fsys := faultfs.New(rand.New(rand.NewPCG(seed, uint64(at))))
			is.NoErr(storage.Create(fsys, []byte("me")))
			s, _, err := storage.Open(fsys, small)
			is.NoErr(err)
			var p confirmed
			is.NoErr(scenario(s, &p, 1, 40))
			is.NoErr(s.Close())
			is.NoErr(storage.WriteFile(fsys, "kept", []byte("beside the log")))
			fsys.FailAt(at, faultfs.Crash)
			_ = storage.Clear(fsys) // fails with the crash, if that comes before its end
			fsys.Restart()
			if s, c, err := storage.Open(fsys, small); err == nil {
				is.NoErr(check(c, p))
				is.NoErr(s.Close())
				intact++
			} else {
				is.Equal(storage.KindOf(err), storage.NoFolder)
				cleared++
			}
			is.NoErr(storage.Clear(fsys))
			is.NoErr(storage.Create(fsys, []byte("again")))
			_, err = storage.ReadFile(fsys, "kept")
			is.NoErr(err)
		}
	}
	is.True(cleared > 0 && intact > 0)
}

// Guards against the loss of a state record, and with it a vote, when the segment that repeats it was torn at its
// creation and the older segments are removed by compaction.
func TestStateSurvivesTornSegment(t *testing.T) {
	is := is.New(t)
	fsys := faultfs.New(rand.New(rand.NewPCG(5, 0)))
	is.NoErr(storage.Create(fsys, nil))
	s, _, err := storage.Open(fsys, small)
	is.NoErr(err)
	is.NoErr(s.SetState([]byte("vote")))
	is.NoErr(s.Append(storage.Record{Index: 1, Data: make([]byte, 700)}))
	is.NoErr(s.Sync()) // starts the second segment
	is.NoErr(s.Close())
	const second = "log-0000000000000002"
	b, err := fsys.ReadFile(second)
	is.NoErr(err)
	fsys.Write(second, b[:len(b)-1])
	s, _, err = storage.Open(fsys, small)
	is.NoErr(err)
	is.NoErr(s.Append(storage.Record{Index: 2}))
	is.NoErr(s.Sync())
	is.NoErr(s.SaveSnapshot(1, nil))
	is.NoErr(s.Compact(2))
	is.NoErr(s.Close())
	_, c, err := storage.Open(fsys, small)
	is.NoErr(err)
	is.Equal(string(c.State), "vote")
}

// Guards against a folder whose creation was interrupted and that can be neither used nor created again.
func TestCrashDuringCreation(t *testing.T) {
	for at := range 9 {
		fsys := faultfs.New(rand.New(rand.NewPCG(1, uint64(at))))
		fsys.FailAt(at+1, faultfs.Crash)
		_ = storage.Create(fsys, []byte("one"))
		fsys.Restart()
		err := storage.Create(fsys, []byte("two"))
		if err != nil && storage.KindOf(err) != storage.Exists {
			t.Fatal(err)
		}
		s, c, err := storage.Open(fsys, small)
		if err != nil || len(c.Identity) != 3 {
			t.Fatal(at, err)
		}
		_ = s.Close()
	}
}

// Guards against data confirmed after a failed write or sync: the kernel may have dropped the pages.
func TestFailedWriteMakesReadOnly(t *testing.T) {
	for _, fault := range []faultfs.Fault{faultfs.NoSpace, faultfs.ShortWrite, faultfs.FailedSync} {
		for at := 1; at < 60; at++ {
			fsys := faultfs.New(rand.New(rand.NewPCG(2, uint64(at))))
			_ = storage.Create(fsys, nil)
			s, _, err := storage.Open(fsys, small)
			if err != nil {
				t.Fatal(err)
			}
			var p confirmed
			fsys.FailAt(at, fault)
			if err := scenario(s, &p, 1, 30); err != nil {
				if storage.KindOf(err) != storage.ReadOnly || s.Sync() == nil || s.SaveSnapshot(100, nil) == nil || s.Append() == nil {
					t.Fatalf("fault %d at operation %d: %v", fault, at, err)
				}
			}
			_ = s.Close()
			fsys.Restart()
			s, c, err := storage.Open(fsys, small)
			if err != nil {
				t.Fatalf("fault %d at operation %d: %v", fault, at, err)
			}
			if err := check(c, p); err != nil {
				t.Fatalf("fault %d at operation %d: %v", fault, at, err)
			}
			_ = s.Close()
		}
	}
}

// Guards against a store that stays read-only after its disk works again, and against records lost, confirmed or mixed up
// when it is resumed: the owner repeats what was not confirmed, and a crash at any later operation keeps what was.
func TestResumeAfterFailedWrite(t *testing.T) {
	for _, fault := range []faultfs.Fault{faultfs.NoSpace, faultfs.ShortWrite, faultfs.FailedSync} {
		for at := 1; at < 60; at++ {
			for crashAt := 1; crashAt < 40; crashAt += 3 {
				fsys := faultfs.New(rand.New(rand.NewPCG(uint64(crashAt), uint64(at))))
				_ = storage.Create(fsys, nil)
				s, _, err := storage.Open(fsys, small)
				if err != nil {
					t.Fatal(err)
				}
				var p confirmed
				fsys.FailAt(at, fault)
				if scenario(s, &p, 1, 30) == nil {
					continue
				}
				if fault == faultfs.NoSpace {
					if s.Resume() == nil {
						t.Fatalf("operation %d: resumed on a full disk", at)
					}
					fsys.Repair()
				}
				if err := s.Resume(); err != nil {
					t.Fatalf("fault %d at operation %d: %v", fault, at, err)
				}
				fsys.FailAt(crashAt, faultfs.Crash)
				_ = scenario(s, &p, p.index+1, 60)
				_ = s.Close()
				fsys.Restart()
				s, c, err := storage.Open(fsys, small)
				if err != nil {
					t.Fatalf("fault %d at operation %d, crash at %d: %v", fault, at, crashAt, err)
				}
				if err := check(c, p); err != nil {
					t.Fatalf("fault %d at operation %d, crash at %d: %v", fault, at, crashAt, err)
				}
				_ = s.Close()
			}
		}
	}
}

// Guards against undetected damage to synced data: a flipped bit anywhere but in the last synced batch must be refused
// with file, offset and remedy.
func TestFlippedBit(t *testing.T) {
	is := is.New(t)
	fsys := faultfs.New(rand.New(rand.NewPCG(3, 0)))
	is.NoErr(storage.Create(fsys, []byte("me")))
	s, _, err := storage.Open(fsys, small)
	is.NoErr(err)
	is.NoErr(scenario(s, &confirmed{}, 1, 25))
	is.NoErr(s.Close())
	names, _ := fsys.List()
	flips := 0
	for i, name := range names {
		b, _ := fsys.ReadFile(name)
		end := len(b)
		if i < len(names)-1 && strings.HasPrefix(names[i+1], "snapshot") {
			end -= 150 // the last batch of the log
		}
		for bit := 0; bit < end*8; bit += 5 {
			fsys.FlipBit(name, bit)
			_, _, err := storage.Open(fsys, small)
			var e *storage.Error
			if !errors.As(err, &e) || (e.Kind != storage.Corrupt && e.Kind != storage.NewVersion) || !strings.Contains(e.File, "memory/") || e.Remedy() == "" {
				t.Fatalf("%s, bit %d of %d bytes: %v", name, bit, len(b), err)
			}
			fsys.Write(name, b)
			flips++
		}
	}
	_, c, err := storage.Open(fsys, small)
	is.NoErr(err)
	is.NoErr(check(c, confirmed{25, 16, 17}))
	is.True(flips > 1000)
}

// version1 writes the files of a version 1 folder: two entries, a state and a snapshot.
func version1(write func(name string, b []byte)) {
	le, table := binary.LittleEndian, crc32.MakeTable(crc32.Castagnoli)
	head := func(magic string) []byte { return le.AppendUint32([]byte(magic), 1) }
	log := le.AppendUint64(head("BANYLOG\n"), 1)
	log = le.AppendUint32(log, crc32.Checksum(log, table))
	for _, r := range []struct {
		kind  byte
		index uint64
		data  []byte
	}{{1, 17, data(17)}, {1, 18, data(18)}, {2, 0, []byte("18")}} {
		body := append(le.AppendUint64([]byte{r.kind}, r.index), r.data...)
		log = le.AppendUint32(log, uint32(len(body)-1))
		log = le.AppendUint32(log, crc32.Checksum(body, table))
		log = append(log, body...)
	}
	write("log-0000000000000001", log)
	blob := func(magic string, b []byte) []byte {
		h := le.AppendUint64(head(magic), uint64(len(b)))
		h = le.AppendUint32(h, crc32.Update(crc32.Checksum(h, table), table, b))
		return append(h, b...)
	}
	write("snapshot-0000000000000011", blob("BANYSNP\n", data(17)))
	write("identity", blob("BANYIDN\n", []byte("me")))
}

// Guards against an upgrade that loses data, or appends to a file in another format than its header says.
func TestUpgradeFromVersion1(t *testing.T) {
	is := is.New(t)
	fsys := faultfs.New(rand.New(rand.NewPCG(4, 0)))
	version1(fsys.Write)
	s, c, err := storage.Open(fsys, small)
	is.NoErr(err)
	is.Equal(string(c.Identity), "me")
	is.NoErr(check(c, confirmed{18, 18, 17}))
	is.NoErr(scenario(s, &confirmed{}, 19, 22)) // sets no state
	is.NoErr(s.Close())
	_, c, err = storage.Open(fsys, small)
	is.NoErr(err)
	is.NoErr(check(c, confirmed{22, 18, 17}))
}

// Guards against two processes that use one folder, and against faults in the file system layer of production.
func TestRealFolder(t *testing.T) {
	is := is.New(t)
	fsys, err := storage.OS(filepath.Join(t.TempDir(), "data"))
	is.NoErr(err)
	_, _, err = storage.Open(fsys, small)
	is.Equal(storage.KindOf(err), storage.NoFolder)
	is.NoErr(storage.Create(fsys, []byte("me")))
	is.Equal(storage.KindOf(storage.Create(fsys, nil)), storage.Exists)
	s, _, err := storage.Open(fsys, small)
	is.NoErr(err)
	_, _, err = storage.Open(fsys, small)
	is.Equal(storage.KindOf(err), storage.Locked)
	is.NoErr(scenario(s, &confirmed{}, 1, 45))
	is.NoErr(s.Close())
	names, err := fsys.List()
	is.NoErr(err)
	torn, err := os.OpenFile(fsys.Path(names[len(names)-2]), os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = torn.Write([]byte{0xB7, 1, 200, 0, 0, 0})
	is.NoErr(errors.Join(err, torn.Close()))
	s, c, err := storage.Open(fsys, small)
	is.NoErr(err)
	is.Equal(c.TornBytes, int64(6))
	is.NoErr(check(c, confirmed{45, 31, 37}))
	is.NoErr(s.Close())
}

// Guards against a file beside the log that a crash leaves damaged or empty, or with neither the old nor the new content.
func TestFileIsReplacedAtomically(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		for operation := 1; ; operation++ {
			disk := faultfs.New(rand.New(rand.NewPCG(seed, 7)))
			is.NoErr(storage.WriteFile(disk, "f", []byte("old")))
			disk.FailAt(operation, faultfs.Crash)
			err := storage.WriteFile(disk, "f", []byte("new"))
			crashed := disk.Crashed()
			disk.Restart()
			content, readErr := storage.ReadFile(disk, "f")
			is.NoErr(readErr)
			is.True(string(content) == "new" || err != nil && string(content) == "old")
			if !crashed {
				break
			}
		}
	}
	_, err := storage.ReadFile(faultfs.New(rand.New(rand.NewPCG(1, 7))), "f")
	is.True(errors.Is(err, os.ErrNotExist))
}
