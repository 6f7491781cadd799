package recorder

// Events of the control log.
var (
	LogOpened         = Event{4100, "control log opened"}
	LeadershipGained  = Event{4101, "leadership gained"}
	LeadershipLost    = Event{4102, "leadership lost"}
	MembersChanged    = Event{4103, "membership of the control log changed"}
	SnapshotTaken     = Event{4104, "snapshot taken"}
	SnapshotInstalled = Event{4105, "snapshot installed"}
	PeerSilent        = Event{4106, "control instance does not answer"}
	PeerHeard         = Event{4107, "control instance answers again"}
	DiskFailed        = Event{4108, "disk does not take writes"}
	DiskReopened      = Event{4109, "data folder opened again"}
	SnapshotFailed    = Event{4110, "snapshot cannot be saved"}
)
