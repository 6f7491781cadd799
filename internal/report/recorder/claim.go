package recorder

// The events of claim ledgers.
var (
	LedgerHeld     = Event{5201, "claim ledger handed over"}
	LedgerNotHeld  = Event{5202, "claim ledger not handed over"}
	LedgerRestored = Event{5203, "claim ledger restored"}
	LedgerMissing  = Event{5204, "no claim ledger found"}
	FetchFailed    = Event{5205, "agent cannot be asked for claim ledger"}
)
