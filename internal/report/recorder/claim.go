package recorder

// Events of the handover of claim ledgers between two processes of an agent.
var (
	LedgerHandedOver    = Event{5201, "claim ledger handed over"}
	LedgerNotHandedOver = Event{5202, "claim ledger not handed over"}
	LedgerRestored      = Event{5203, "claim ledger restored"}
	LedgerMissing       = Event{5204, "no claim ledger found"}
	FetchFailed         = Event{5205, "agent cannot be asked for claim ledger"}
)
