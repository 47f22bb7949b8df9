package consensus

// snapshotTransfer is a snapshot being sent to a member, one chunk at a time. It continues with the same snapshot when a
// newer one is made.
type snapshotTransfer struct {
	snapshot Snapshot
	offset   int // bytes that the member has received
}

func (n *Node) startSnapshotTransfer(id ID, p *progress) {
	if n.snapshot.Index == 0 {
		return
	}
	p.snapshotTransfer = &snapshotTransfer{snapshot: n.snapshot}
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id ID, p *progress) {
	t := p.snapshotTransfer
	end := min(t.offset+n.cfg.MaxBatchBytes, len(t.snapshot.Data))
	p.sentAt = n.now
	n.sendEarly(Message{Kind: KindSnapshot, To: id, Chunk: &Chunk{Index: t.snapshot.Index, Term: t.snapshot.Term,
		Members: t.snapshot.Members, Total: len(t.snapshot.Data), Offset: t.offset, Data: t.snapshot.Data[t.offset:end]}})
}

func (n *Node) stepSnapshotReply(m *Message, p *progress) {
	t := p.snapshotTransfer
	if t == nil || m.Chunk == nil || m.Chunk.Index != t.snapshot.Index || m.Chunk.Offset < 0 ||
		m.Chunk.Offset > len(t.snapshot.Data) || m.Chunk.Offset == t.offset {
		return
	}
	t.offset = m.Chunk.Offset
	n.sendChunk(m.From, p)
}

// stepSnapshot assembles a snapshot from its chunks. Chunks of different senders are never combined, since two members
// may encode the same state differently.
func (n *Node) stepSnapshot(m *Message) {
	c := m.Chunk
	if c == nil || c.Total < 0 || c.Total > n.cfg.MaxSnapshotBytes {
		return
	}
	if c.Index <= n.log.commit {
		n.incomingSnapshot = nil
		n.send(Message{Kind: KindAppendReply, To: m.From, Index: n.log.commit})
		return
	}
	in := n.incomingSnapshot
	if in == nil || n.incomingFrom != m.From || in.Index != c.Index || in.Term != c.Term || in.Total != c.Total {
		in = &Chunk{Index: c.Index, Term: c.Term, Members: c.Members, Total: c.Total}
		n.incomingSnapshot, n.incomingFrom = in, m.From
	}
	if c.Offset == len(in.Data) && len(in.Data)+len(c.Data) <= in.Total {
		in.Data = append(in.Data, c.Data...)
	}
	if len(in.Data) < in.Total {
		n.send(Message{Kind: KindSnapshotReply, To: m.From, Chunk: &Chunk{Index: in.Index, Offset: len(in.Data)}})
		return
	}
	n.incomingSnapshot = nil
	if n.log.matches(in.Index, in.Term) {
		n.commitTo(in.Index)
	} else {
		n.log.reset(in.Index, in.Term)
		n.configurations = []configuration{{in.Index, in.Members}}
		n.pendingInstall = &Snapshot{Index: in.Index, Term: in.Term, Members: in.Members, Data: in.Data}
	}
	n.send(Message{Kind: KindAppendReply, To: m.From, Index: in.Index})
}
