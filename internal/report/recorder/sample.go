package recorder

import "github.com/peridotstage/peridotstage/internal/world/registrar"

// Limits of the lines about flows that a process writes in a second, for readers of logs that estimate what was left out.
const (
	// RoutineLines is the number of lines above which routine events of flows outside the sample are left out.
	RoutineLines = maxRoutineLines
	// SampledLines is the number of lines above which routine events of all flows are left out.
	SampledLines = maxSampledLines
	// FlowLines is the number of lines above which everything about flows is left out.
	FlowLines = maxFlowLines
	// SampleWeight is the number of flows that a flow of the sample stands for.
	SampleWeight = samplingInterval
)

// InSample reports whether routine events of a flow are written above RoutineLines lines in a second.
func InSample(f registrar.Flow) bool { return f.Caller.Port()%samplingInterval == 0 }
