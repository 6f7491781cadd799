package steerer

import "github.com/peridotstage/peridotstage/internal/world/registrar"

// holdsLocked reports whether the upstream holds as many open flows as it may, by its report and the flows placed since. maxFlows 0 means
// no limit.
func (l *load) holdsLocked(maxFlows registrar.FlowCount) bool {
	return l.full || maxFlows > 0 && int(l.newest.Flows)+l.placedSinceReport >= int(maxFlows)
}
