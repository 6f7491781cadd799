package recorder

// Events of intents, announcements and proofs.
var (
	OperatorActed       = Event{4201, "operator acted"}
	AnnouncementsLogged = Event{4202, "announcements logged"}
	DigestDiffers       = Event{4203, "configuration digest differs"}
	ProofMade           = Event{4204, "proof made"}
)
