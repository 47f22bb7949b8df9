package directory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/bootstrap"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// testGate is that of a machine on which no limit is met.
var testGate = intake.NewGate(1<<30, 1<<16)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

func member(id consensus.ID, address string) consensus.Member {
	return consensus.Member{ID: id, Address: address}
}

func groupOf(members ...consensus.Member) consensus.Members { return consensus.Members{List: members} }

// Guards against a voter that keeps its vote after losing its disk or failing permanently, and against joiners that turn
// the existing voters into a minority.
func TestAdmissionKeepsQuorum(t *testing.T) {
	is := is.New(t)
	d := &Directory{config: Config{Voters: 3}}
	members := groupOf(member(1, "a"), member(2, "b"), member(3, "c"))
	joiner := bootstrap.Member{ID: 9, Address: "b"}
	is.Equal(d.admit(joiner, members, nil).Replaces, consensus.ID(2)) // a new data folder at the same address
	joiner.Address = "new"
	is.True(d.admit(joiner, members, nil).Learner)
	is.Equal(d.admit(joiner, members, map[consensus.ID]time.Duration{3: replaceAfter + 1}).Replaces, consensus.ID(3))
	is.True(d.admit(joiner, members, map[consensus.ID]time.Duration{3: suspectAfter + 1}).Refuse)
	d.config.Voters = 5
	is.True(!d.admit(joiner, members, nil).Learner)
	promoted := func(id consensus.ID) consensus.Member { return consensus.Member{ID: id, Learner: true, Promote: true} }
	is.True(!d.admit(joiner, groupOf(append(members.List, promoted(7))...), nil).Learner)
	is.True(d.admit(joiner, groupOf(append(members.List, promoted(7), promoted(8))...), nil).Learner) // these two will vote
}

// Guards against a group that does not regain the configured number of voters, or exceeds it: with a silent voter and its
// successor in the group, one more loss took the majority.
func TestNumberOfVotersIsRestored(t *testing.T) {
	is := is.New(t)
	learner := member(4, "d")
	learner.Learner = true
	members := groupOf(member(1, "a"), member(2, "b"), member(3, "c"), learner)
	_, ok := nextVoterChange(members, nil, 3)
	is.True(!ok)
	silence := map[consensus.ID]time.Duration{2: replaceAfter + 1}
	change, ok := nextVoterChange(members, silence, 3)
	is.True(ok)
	is.Equal(change, consensus.Change{Promote: 4, Replaces: 2})
	learner.Promote, learner.Replaces = true, 2 // replacement in progress
	_, ok = nextVoterChange(groupOf(member(1, "a"), member(2, "b"), member(3, "c"), learner), silence, 3)
	is.True(!ok)
	other := member(5, "e")
	other.Learner = true
	silence[4] = replaceAfter + 1 // the successor has fallen silent before it could vote
	change, ok = nextVoterChange(groupOf(member(1, "a"), member(2, "b"), member(3, "c"), learner, other), silence, 3)
	is.True(ok)
	is.Equal(change, consensus.Change{Promote: 5, Replaces: 2})
	delete(silence, 4)
	learner.Promote, learner.Replaces = false, 0
	change, ok = nextVoterChange(groupOf(member(1, "a"), member(3, "c"), learner), nil, 3)
	is.True(ok)
	is.Equal(change, consensus.Change{Promote: 4})
	silence[2] = removeAfter + 1
	change, ok = nextVoterChange(groupOf(member(1, "a"), member(2, "b"), member(3, "c"), member(4, "d")), silence, 3)
	is.True(ok)
	is.Equal(change, consensus.Change{Remove: 2})
	_, ok = nextVoterChange(groupOf(member(1, "a"), member(2, "b"), member(3, "c")), silence, 3)
	is.True(!ok) // no other voter or learner can replace it
}

// Guards against a group that runs on fewer disks than configured without showing it.
func TestVotersWithoutAnswerAreCounted(t *testing.T) {
	is := is.New(t)
	learner := member(4, "d")
	learner.Learner = true
	members := groupOf(member(1, "a"), member(2, "b"), member(3, "c"), learner)
	silence := map[consensus.ID]time.Duration{2: suspectAfter + 1, 3: suspectAfter}
	is.Equal(countVoters(members, silence, 3), voterCounts{Wanted: 3, Voters: 3, Answering: 2})
}

// Guards against a snapshot that loses part of the agreed state.
func TestStateMachineSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	changes := 0
	m := newStateMachine(func(controlstate.State) { changes++ })
	packed, err := PackConfiguration([]byte(strings.Repeat("route ", 10000)))
	is.NoErr(err)
	is.True(len(packed) < 1000)
	is.Equal(m.Apply(1, []byte("not a command")), nil)
	apply := func(index uint64, c controlstate.Command) {
		data, err := encodeCommand(c)
		is.NoErr(err)
		m.Apply(index, data)
	}
	apply(2, controlstate.Command{Configure: &controlstate.Configure{Version: 4, Body: packed}})
	apply(3, controlstate.Command{Evacuate: &controlstate.Evacuate{DataCentre: "z", Evacuated: true}})
	apply(4, controlstate.Command{Evacuate: &controlstate.Evacuate{DataCentre: "z", Evacuated: true}})
	is.Equal(changes, 2)
	other := newStateMachine(func(controlstate.State) {})
	is.NoErr(other.Restore(m.Snapshot()))
	is.Equal(*other.state.Load(), *m.state.Load())
	body, err := UnpackConfiguration(other.state.Load().Body)
	is.NoErr(err)
	is.Equal(len(body), 60000)
}

// startSingleInstance starts a control instance that forms a group by itself, and a server for its HTTP interface.
func startSingleInstance(t testing.TB) (*Directory, *httptest.Server) {
	t.Helper()
	d, err := New(Config{Instance: "one", Address: "127.0.0.1:1", Founders: []string{"127.0.0.1:1"}, MayBootstrap: true, Voters: 1,
		AnnounceInterval: time.Second, Decode: platform.DecodeConfiguration,
		Dial: func(string, func() protocol.Hello, transport.Handler) transport.ConnectFunc {
			return func(ctx context.Context, _ transport.Handler) (transport.Session, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, Hello: func() protocol.Hello { return protocol.Hello{} }}, faultfs.New(rand.New(rand.NewPCG(1, 1))))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go d.Run(ctx)
	server := httptest.NewServer(newAPI(d, map[string]string{"z": "r"}, testGate).handler())
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-d.done
		d.Close()
	})
	return d, server
}

// awaitGroup returns once the group of a single instance is founded: it agrees on nothing before that.
func awaitGroup(d *Directory) {
	for {
		if _, err := d.ConfirmedState(context.Background()); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

func configurationOf(version string) string {
	return `{"version":` + version + `,"routes":[{"name":"r","host":"h","path-prefix":"/a/","kind":"safe","timeout-ms":1000,"service":"s"}],"services":[{"name":"s"}]}`
}

// Guards against invalid changes that are acknowledged, valid ones that are refused, and reads that do not return the
// newest acknowledged configuration.
func TestOperatorsInterface(t *testing.T) {
	is := is.New(t)
	_, server := startSingleInstance(t)
	status, _ := call(t, http.MethodGet, server.URL+platform.ReadConfigurationPath, "")
	is.Equal(status, http.StatusServiceUnavailable) // no configuration yet
	for {
		if status, _ = call(t, http.MethodPost, server.URL+platform.ReplaceConfigurationPath, configurationOf("5")); status == http.StatusOK {
			break
		}
		is.Equal(status, http.StatusServiceUnavailable) // until the group is founded
		time.Sleep(10 * time.Millisecond)
	}
	for body, want := range map[string]int{
		configurationOf("5"): http.StatusOK, // sent again
		configurationOf("3"): http.StatusOK, // older version
		strings.Replace(configurationOf("6"), `"service":"s"`, `"service":"gone"`, 1): http.StatusBadRequest,
		configurationOf("6")[:60]: http.StatusBadRequest,
	} {
		status, _ = call(t, http.MethodPost, server.URL+platform.ReplaceConfigurationPath, body)
		is.Equal(status, want)
	}
	status, body := call(t, http.MethodGet, server.URL+platform.ReadConfigurationPath, "")
	is.Equal(status, http.StatusOK)
	is.Equal(body, configurationOf("5"))
	evacuate := func(path, dataCentre string) int {
		status, _ := call(t, http.MethodPost, server.URL+strings.Replace(path, "{"+platform.DataCentreVariable+"}", dataCentre, 1), "")
		return status
	}
	is.Equal(evacuate(platform.EvacuatePath, "z"), http.StatusOK)
	is.Equal(evacuate(platform.EvacuatePath, "nowhere"), http.StatusNotFound)
	is.Equal(evacuate(platform.RestorePath, "z"), http.StatusOK)
}

// Guards against a configuration that no entry of the log can hold and that its sender is asked to send again for ever.
func TestConfigurationOverTheLimitIsRefusedForGood(t *testing.T) {
	is := is.New(t)
	_, server := startSingleInstance(t)
	random := rand.New(rand.NewPCG(1, 1))
	configuration := routes.Configuration{Version: 5, Services: []routes.Service{{Name: "s"}}, Organisations: []routes.Organisation{{Name: "o"}},
		Limits: routes.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second}}
	sendWithKeys := func(keys int) (status int, answer string) {
		for range keys {
			configuration.Organisations[0].Keys = append(configuration.Organisations[0].Keys, fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()))
		}
		body, err := platform.EncodeConfiguration(&configuration)
		is.NoErr(err)
		for {
			if status, answer = call(t, http.MethodPost, server.URL+platform.ReplaceConfigurationPath, string(body)); status != http.StatusServiceUnavailable {
				return status, answer
			}
			time.Sleep(10 * time.Millisecond) // until the group is founded
		}
	}
	status, _ := sendWithKeys(10_000)
	is.Equal(status, http.StatusOK)
	configuration.Version++
	status, answer := sendWithKeys(20_000)
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.True(strings.Contains(answer, "leave out"))
}

// Guards against invalid announcements that add a server, and valid ones that are lost.
func TestAnnouncementsBecomeServers(t *testing.T) {
	is := is.New(t)
	d, server := startSingleInstance(t)
	awaitGroup(d)
	path := func(pattern, id string) string { return server.URL + pathOf(pattern, id) }
	status, _ := call(t, http.MethodPost, path(platform.AnnouncePath, "i1"),
		`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","sequence":1,"born":7}`)
	is.Equal(status, http.StatusOK)
	status, _ = call(t, http.MethodPost, path(platform.AnnouncePath, "i2"), `{"service":"s","state":"ready"}`)
	is.Equal(status, http.StatusBadRequest)
	status, _ = call(t, http.MethodPost, path(platform.DeregisterPath, "i1"), "")
	is.Equal(status, http.StatusOK)
	reply := make(chan []*registry.Record)
	d.post(func(time.Time) { reply <- d.servers.All() })
	servers := <-reply
	is.Equal(len(servers), 1)
	is.Equal(servers[0].State, registry.Deregistered)
	is.Equal(servers[0].Address, "10.0.0.1:80")
}

// announcementsReceiver records the identifiers of announced servers that an entry instance receives.
type announcementsReceiver struct {
	limitsReceiver
	servers map[string]bool
	closed  bool
}

func (r *announcementsReceiver) MessageReceived(_ transport.Session, m protocol.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := m.(*protocol.RelayedAnnouncements); ok {
		for _, a := range m.Servers {
			r.servers[a.Announcement.Server] = true
		}
	}
}

func (r *announcementsReceiver) StateChanged(_ transport.Session, state transport.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = r.closed || state == transport.StateClosed
}

// pathOf returns the path of a backend server's call. The identifier is escaped already.
func pathOf(pattern, id string) string {
	return strings.Replace(pattern, "{"+platform.ServerVariable+"}", id, 1)
}

// post sends a backend server's call to a handler and returns the status.
func post(t *testing.T, handler http.Handler, pattern, id, body string) int {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathOf(pattern, id), strings.NewReader(body)))
	return w.Code
}

// Guards against heartbeats of another writer that keep entry instances from learning of servers: with an identifier that is
// not UTF-8, or with texts so long that no message holds them.
func TestForeignAnnouncementsKeepSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		handler := newAPI(d.Directory, nil, testGate).handler()
		body := func(service, address string) string {
			return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","slots":4,"state":"ready","sequence":1,"born":7}`, service, address)
		}
		r := &announcementsReceiver{servers: map[string]bool{}}
		f.connectEntry(d, "entry", r)
		is.Equal(post(t, handler, platform.AnnouncePath, "ca%F1on-1", body("s", "10.0.0.1:80")), http.StatusBadRequest)
		is.Equal(post(t, handler, platform.DeregisterPath, "ca%F1on-1", ""), http.StatusBadRequest)
		for i := range 20 {
			is.Equal(post(t, handler, platform.AnnouncePath, fmt.Sprint("long-", i), body(strings.Repeat("s", 60<<10), "10.0.0.1:80")), http.StatusBadRequest)
		}
		is.Equal(post(t, handler, platform.AnnouncePath, "sound", body("s", "10.0.0.2:80")), http.StatusOK)
		time.Sleep(2 * time.Second)
		late := &announcementsReceiver{servers: map[string]bool{}}
		f.connectEntry(d, "late", late)
		time.Sleep(2 * time.Second)
		for _, r := range []*announcementsReceiver{r, late} {
			r.mu.Lock()
			is.Equal(r.servers, map[string]bool{"sound": true})
			is.True(!r.closed)
			r.mu.Unlock()
		}
	})
}

// Guards against an odd entry of another writer among the announcements that ends the processes which read it, or hides the sound
// ones from them.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		handler := newAPI(d.Directory, nil, testGate).handler()
		const sound = `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","sequence":1,"born":7,"cold-remaining-ms":0,` +
			`"group":{"name":"g","epoch":1,"rank":1,"state":"open"},"size":2}`
		r := &announcementsReceiver{servers: map[string]bool{}}
		f.connectEntry(d, "entry", r)
		for i, change := range [][2]string{
			{`:80"`, `:80000"`}, {`:80"`, `:-1"`}, {`:80"`, `"`}, {`"slots":4`, `"slots":1e400`}, {`"slots":4`, `"slots":-4`},
			{`"slots":4`, `"slots":9007199254740993`}, {`"sequence":1`, `"sequence":-1`}, {`"sequence":1`, `"sequence":18446744073709551616`},
			{`"born":7`, `"born":7.5`}, {`"born":7`, `"born":1e30`}, {`-ms":0`, `-ms":1e300`}, {`-ms":0`, `-ms":-1`}, {`-ms":0`, `-ms":1e999`},
			{`"rank":1`, `"rank":-1`}, {`"rank":1`, `"rank":2`}, {`"size":2`, `"size":4611686018427387904`}, {`"size":2`, `"size":-2`},
			{`"state":"ready"`, `"state":["ready"]`}, {`"service":"s"`, `"service":null`}, {`"zone":"z"`, `"zone":{}`},
			{sound, strings.Repeat("[", 60000)}, {sound, strings.Repeat(`{"group":`, 6000)}, {`"size":2`, `"size":` + strings.Repeat("[", 50000)},
			{sound, "null"}, {sound, "[]"}, {sound, "\xff\xfe"},
		} {
			is.True(strings.Contains(sound, change[0]))
			if got := post(t, handler, platform.AnnouncePath, fmt.Sprint("odd-", i), strings.Replace(sound, change[0], change[1], 1)); got != http.StatusBadRequest {
				t.Errorf("%.40s: status %d", change[1], got)
			}
		}
		is.Equal(post(t, handler, platform.AnnouncePath, "sound", sound), http.StatusOK)
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		is.Equal(r.servers, map[string]bool{"sound": true})
		is.True(!r.closed)
	})
}

// Guards against heartbeats of another writer that lack the start of the process: they replaced the announcements of the server
// itself, whose own leave was acknowledged and dropped.
func TestForeignAnnouncementDoesNotHideALeave(t *testing.T) {
	is := is.New(t)
	d, server := startSingleInstance(t)
	awaitGroup(d)
	announce := func(sequence int, state, born string) int {
		status, _ := call(t, http.MethodPost, server.URL+pathOf(platform.AnnouncePath, "i1"), fmt.Sprintf(
			`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":%q,"sequence":%d%s}`, state, sequence, born))
		return status
	}
	is.Equal(announce(1, "ready", `,"born":7`), http.StatusOK)
	is.Equal(announce(1e12, "ready", ""), http.StatusBadRequest)
	is.Equal(announce(1e12, "ready", `,"born":0`), http.StatusBadRequest)
	is.Equal(announce(2, "draining", `,"born":7`), http.StatusOK)
	reply := make(chan registry.Record)
	d.post(func(time.Time) { reply <- *d.servers.Get("i1") })
	is.Equal((<-reply).State, registry.Draining)
}

// Guards against an order for a data centre that is carried out after a newer one was acknowledged: it waited at an instance
// that was cut off or stood still, while its sender repeated it elsewhere.
func TestLateOrderUndoesNoNewerOne(t *testing.T) {
	const followerCut, leaderCut, senderLeft = "follower cut off", "leader cut off", "sender has left"
	for _, name := range []string{followerCut, leaderCut, senderLeft} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newControlFleet(t, 3)
				defer f.stopAll()
				f.startFounders("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
				leader := func() *controlNode {
					for _, n := range f.nodes {
						if _, leads := n.member.Leads(); leads {
							return n
						}
					}
					return nil
				}
				for leader() == nil {
					time.Sleep(100 * time.Millisecond)
				}
				handlers := map[*controlNode]http.Handler{}
				var followers []*controlNode
				for _, n := range f.nodes {
					handlers[n] = newAPI(n.Directory, map[string]string{"z": "r"}, testGate).handler()
					if n != leader() {
						followers = append(followers, n)
					}
				}
				frozen, other := followers[0], followers[1]
				if name == leaderCut {
					frozen = leader()
				}
				order := func(n *controlNode, ctx context.Context, what string) int {
					w := httptest.NewRecorder()
					handlers[n].ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/evacuations/z/"+what, nil))
					return w.Code
				}
				acknowledged := func(what string) {
					t.Helper()
					for order(other, t.Context(), what) != http.StatusOK {
						time.Sleep(200 * time.Millisecond)
					}
				}
				acknowledged("begin")
				left, leave := context.WithTimeout(t.Context(), time.Second)
				defer leave()
				sendLate := func() { is.True(order(frozen, left, "finish") != http.StatusOK) }
				if name != senderLeft {
					f.setCut(frozen, true)
					sendLate()
				}
				acknowledged("finish")
				acknowledged("begin")
				if name == senderLeft {
					leave()
					sendLate()
				}
				time.Sleep(time.Second)
				f.setCut(frozen, false)
				time.Sleep(8 * time.Second)
				for _, n := range f.nodes {
					is.Equal(n.State().Evacuated, []string{"z"})
				}
				acknowledged("finish")
				is.Equal(len(other.State().Evacuated), 0)
			})
		})
	}
}

// Guards against an oversized configuration that is unpacked in full.
func TestUnpackedConfigurationIsBounded(t *testing.T) {
	is := is.New(t)
	packed, err := PackConfiguration(bytes.Repeat([]byte("x"), MaxConfigurationBytes+1))
	is.NoErr(err)
	body, err := UnpackConfiguration(packed)
	is.NoErr(err)
	is.Equal(len(body), MaxConfigurationBytes)
}

// Guards against map changes that copy for so long that the demand has changed by then, and against ones that copy too
// little.
func TestStagingPerRankDependsOnCopyTime(t *testing.T) {
	is := is.New(t)
	is.Equal(stagingPerRank(&routes.Engine{}), 1)
	is.Equal(stagingPerRank(&routes.Engine{ExpertCopyTime: 400 * time.Millisecond}), 1)
	is.Equal(stagingPerRank(&routes.Engine{ExpertCopyTime: maxCopyTime / 4}), 4)
}
