package transport

import "fmt"

// shed cancels streams until the unread bytes are within their bound, so that slow readers do not exhaust memory. Of the
// streams with at least half as much unread as the one with the most, it takes the one that has not been read for the
// longest time: bytes alone would also hit a reader that is merely not scheduled yet.
func (s *session) shed() {
	for s.unread.Load() > int64(s.cfg.ReceiveBytes) {
		st, unread := s.slowest()
		if st == nil {
			return
		}
		st.fail(StreamOverflow, fmt.Sprintf(
			"session holds more than %d unread bytes and this stream %d of them: read faster or raise ReceiveBytes",
			s.cfg.ReceiveBytes, unread))
	}
}

// slowest returns the stream to cancel and its unread bytes, or nil if nothing is unread.
func (s *session) slowest() (slowest *stream, unread int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, st := range s.streams {
		n, _ := st.backlog()
		most = max(most, n)
	}
	var oldest int64
	for _, st := range s.streams {
		n, lastRead := st.backlog()
		if n > 0 && n >= most/2 && (slowest == nil || lastRead < oldest) {
			slowest, unread, oldest = st, n, lastRead
		}
	}
	return slowest, unread
}

// backlog returns the unread bytes and when the stream was last read.
func (st *stream) backlog() (unread int, lastRead int64) {
	st.recvMu.Lock()
	defer st.recvMu.Unlock()
	return st.buffered, st.lastRead
}
