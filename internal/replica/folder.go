package replica

import (
	"fmt"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// Prepare initialises an empty data folder with a new random member identifier, and returns the identifier of the
// folder. A member that lost its folder thus gets a new identifier and is not part of the group until it is added.
func Prepare(fsys storage.FS) (consensus.ID, error) {
	id := consensus.ID(randomUint64() | 1)
	err := storage.Create(fsys, encode(identity{ID: id}))
	if err == nil {
		return id, nil
	}
	if storage.KindOf(err) != storage.Exists {
		return 0, err
	}
	store, contents, err := storage.Open(fsys, storage.Options{})
	if err != nil {
		return 0, err
	}
	defer store.Close()
	return decodeIdentity(contents)
}

func decodeIdentity(contents *storage.Contents) (consensus.ID, error) {
	var stored identity
	if err := decoder.Unmarshal(contents.Identity, &stored); err != nil {
		return 0, fmt.Errorf("replica: the folder's identity cannot be read; replace this member: %w", err)
	}
	return stored.ID, nil
}

// Bootstrap creates a group: it writes the initial configuration into a folder that has no log yet. It is called once on
// each initial voter, with the same members. An ordinary start must not call it: an initial voter that lost its folder
// must join as a new member instead of creating a second group.
func Bootstrap(fsys storage.FS, members []consensus.Member) error {
	id, err := Prepare(fsys)
	if err != nil {
		return err
	}
	snapshot := consensus.Snapshot{Index: 1, Term: 1, Members: consensus.Members{List: members}}
	if !snapshot.Members.IsVoter(id) {
		return fmt.Errorf("replica: member %x is not among the initial voters; list its identifier", id)
	}
	store, contents, err := storage.Open(fsys, storage.Options{})
	if err != nil {
		return err
	}
	defer store.Close()
	if contents.SnapshotIndex != 0 || len(contents.Records) != 0 || contents.State != nil {
		return &storage.Error{Kind: storage.Exists, File: fsys.Path(""), Offset: -1, Detail: "the folder already belongs to a group"}
	}
	return store.SaveSnapshot(snapshot.Index, encode(snapshot))
}

// decodePersistedState decodes the hard state, snapshot and log entries of a data folder.
func decodePersistedState(contents *storage.Contents) (r consensus.PersistedState, err error) {
	if contents.State != nil {
		if err := decoder.Unmarshal(contents.State, &r.HardState); err != nil {
			return r, fmt.Errorf("replica: the state record cannot be read; replace this member: %w", err)
		}
	}
	if contents.Snapshot != nil {
		if err := decoder.Unmarshal(contents.Snapshot, &r.Snapshot); err != nil {
			return r, fmt.Errorf("replica: the snapshot cannot be read; replace this member: %w", err)
		}
	}
	r.Entries = make([]consensus.Entry, len(contents.Records))
	for i, record := range contents.Records {
		if err := decoder.Unmarshal(record.Data, &r.Entries[i]); err != nil {
			return r, fmt.Errorf("replica: log entry %d cannot be read; replace this member: %w", record.Index, err)
		}
	}
	return r, nil
}
