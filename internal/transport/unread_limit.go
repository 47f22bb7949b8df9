package transport

import "fmt"

// enforceUnreadLimit cancels streams until the session's unread bytes are within ReceiveBytes, so that slow readers do not
// exhaust memory. Candidates are the streams with at least half the unread bytes of the largest backlog; the least
// recently read one is cancelled. Bytes alone would also select a reader that has merely not been scheduled yet.
func (s *session) enforceUnreadLimit() {
	for s.unreadBytes.Load() > int64(s.cfg.ReceiveBytes) {
		st, unread := s.slowestReader()
		if st == nil {
			return
		}
		st.fail(StreamOverflow, fmt.Sprintf(
			"session holds more than %d unread bytes and this stream %d of them: read faster or raise ReceiveBytes",
			s.cfg.ReceiveBytes, unread))
	}
}

// slowestReader returns the stream to cancel and its unread bytes, or nil if nothing is unread.
func (s *session) slowestReader() (slowest *stream, unread int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxUnread := 0
	for _, st := range s.streams {
		n, _ := st.backlog()
		maxUnread = max(maxUnread, n)
	}
	var oldestRead int64
	for _, st := range s.streams {
		n, lastRead := st.backlog()
		if n > 0 && n >= maxUnread/2 && (slowest == nil || lastRead < oldestRead) {
			slowest, unread, oldestRead = st, n, lastRead
		}
	}
	return slowest, unread
}

// backlog returns the stream's unread bytes and when it was last read, by health.now.
func (st *stream) backlog() (unread int, lastRead int64) {
	st.recvMu.Lock()
	defer st.recvMu.Unlock()
	return st.unreadBytes, st.lastRead
}
