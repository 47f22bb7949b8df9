package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

// oddHeartbeatPause is the pause between two heartbeats of a writer that is no backend server of ours.
const oddHeartbeatPause = 50 * time.Millisecond

// oddHeartbeats returns heartbeats as another writer may send them, as identifier and body. None of them names a server to use: what
// can be read names an address where nothing listens, and a service that has no route.
func oddHeartbeats() [][2]string {
	heartbeat := func(address, fields string) string {
		return fmt.Sprintf(`{"service":"of-others","address":%q,"zone":"norte","version":"v1","slots":4,"state":"ready","cold-remaining-ms":0,"born":1,"sequence":1%s}`,
			address, fields)
	}
	sound, long := heartbeat("127.0.0.1:1", ""), strings.Repeat("n", 200)
	return [][2]string{
		{"ca\xf1on-1", sound}, {"\xff\xfe", sound}, {"", sound}, {" ", sound}, {strings.Repeat("i", 300), sound}, {strings.Repeat("i", 250), sound},
		{"a/b", sound}, {"a\r\nb", sound}, {"\x00", sound}, {"i-1", ""}, {"i-2", "{"}, {"i-3", "null"}, {"i-4", "[]"}, {"i-5", `"text"`}, {"i-6", "{}"},
		{"i-7", heartbeat("not an address", "")}, {"i-8", heartbeat("::1:8169", "")}, {"i-9", heartbeat("127.0.0.1:99999", "")}, {"i-10", heartbeat("", "")},
		{"i-11", heartbeat("127.0.0.1:1", `,"slots":4294967295.0`)}, {"i-12", heartbeat("127.0.0.1:1", `,"slots":-1`)},
		{"i-13", heartbeat("127.0.0.1:1", `,"sequence":1e30`)}, {"i-14", heartbeat("127.0.0.1:1", `,"born":"soon"`)}, {"i-15", heartbeat("127.0.0.1:1", `,"born":-5`)},
		{"i-16", heartbeat("127.0.0.1:1", `,"state":"asleep"`)}, {"i-17", heartbeat("127.0.0.1:1", `,"state":7`)},
		{"i-18", heartbeat("127.0.0.1:1", `,"cold-remaining-ms":1e300`)}, {"i-19", heartbeat("127.0.0.1:1", `,"zone":"ca`+"\xf1"+`on"`)},
		{"i-20", heartbeat("127.0.0.1:1", `,"service":"`+long+long+`"`)}, {"i-21", heartbeat("127.0.0.1:1", `,"group":{"name":"g","epoch":1,"rank":-1,"state":"open"},"size":2`)},
		{"i-22", heartbeat("127.0.0.1:1", `,"group":{"name":"g","epoch":1,"rank":9,"state":"open"},"size":4000000000`)}, {"i-23", strings.Repeat(" ", 70<<10) + sound},
	}
}

// sendOddHeartbeats sends odd heartbeats and deregistrations to random control instances until the context ends.
func (f *fleet) sendOddHeartbeats(ctx context.Context) {
	list := oddHeartbeats()
	for ctx.Err() == nil {
		odd := list[rand.IntN(len(list))]
		path := platform.AnnouncePathOf(url.PathEscape(odd[0]))
		if rand.IntN(8) == 0 {
			path = platform.DeregisterPathOf(url.PathEscape(odd[0]))
		}
		post(ctx, "http://"+f.operator.anyControl()+path, []byte(odd[1]))
		f.ledger.count("odd heartbeats")
		process.Sleep(ctx, oddHeartbeatPause)
	}
}
