package protocol

// Type implements Message.
func (*Hello) Type() Type { return TypeHello }

// Type implements Message.
func (*Announce) Type() Type { return TypeAnnounce }

// Type implements Message.
func (*Load) Type() Type { return TypeLoad }

// Type implements Message.
func (*Open) Type() Type { return TypeOpen }

// Type implements Message.
func (*Head) Type() Type { return TypeHead }

// Type implements Message.
func (*Data) Type() Type { return TypeData }

// Type implements Message.
func (*Credit) Type() Type { return TypeCredit }

// Type implements Message.
func (*End) Type() Type { return TypeEnd }

// Type implements Message.
func (*Cancel) Type() Type { return TypeCancel }

// Type implements Message.
func (*Inquire) Type() Type { return TypeInquire }

// Type implements Message.
func (*InquiryResult) Type() Type { return TypeInquiryResult }

// Type implements Message.
func (*Ping) Type() Type { return TypePing }

// Type implements Message.
func (*Pong) Type() Type { return TypePong }

// Type implements Message.
func (*GoAway) Type() Type { return TypeGoAway }

// Type implements Message.
func (*Roster) Type() Type { return TypeRoster }

// Type implements Message.
func (*Consensus) Type() Type { return TypeConsensus }

// Type implements Message.
func (*Propose) Type() Type { return TypePropose }

// Type implements Message.
func (*Proposed) Type() Type { return TypeProposed }

// Type implements Message.
func (*State) Type() Type { return TypeState }

// Type implements Message.
func (*Summary) Type() Type { return TypeSummary }

// Type implements Message.
func (*Gossip) Type() Type { return TypeGossip }

// Type implements Message.
func (*Order) Type() Type { return TypeOrder }

// Type implements Message.
func (*OrderDone) Type() Type { return TypeOrderDone }

// Type implements Message.
func (*Founding) Type() Type { return TypeFounding }

// Type implements Message.
func (*Join) Type() Type { return TypeJoin }

// Type implements Message.
func (*DataCentres) Type() Type { return TypeDataCentres }

// Type implements Message.
func (*RelayedAnnouncements) Type() Type { return TypeRelayedAnnouncements }

// Type implements Message.
func (*ControlInstances) Type() Type { return TypeControlInstances }

// Type implements Message.
func (*Rank) Type() Type { return TypeRank }

// Type implements Message.
func (*RankOrder) Type() Type { return TypeRankOrder }

// Type implements Message.
func (*RankDone) Type() Type { return TypeRankDone }

// Type implements Message.
func (*GroupLoads) Type() Type { return TypeGroupLoads }

// Type implements Message.
func (*PromptParts) Type() Type { return TypePromptParts }

// Type implements Message.
func (*ServerLimits) Type() Type { return TypeServerLimits }

// Type implements Message.
func (*PermitRequest) Type() Type { return TypePermitRequest }

// Type implements Message.
func (*Permits) Type() Type { return TypePermits }
