package rollout

// Guard is what a roll-out lets one backend server run. The zero value lets it run all.
type Guard struct {
	// Traffic says which versions may run requests; nil: all.
	Traffic *TrafficPolicy
	// Revision is that of the plan that Traffic follows.
	Revision uint64
	// BlockReason is set where the backend server may run nothing, whatever Traffic says.
	BlockReason string
	// Instance is the incarnation that the guard was made for; another one runs nothing
	// until it was looked at. Empty: any may.
	Instance string
}

// RefusalReasonFor says why the incarnation of a backend server on a VM, of a version, may run
// nothing; empty: it may.
func (g *Guard) RefusalReasonFor(instance, version, vm string) string {
	switch {
	case g == nil:
		return ""
	case g.BlockReason != "":
		return g.BlockReason
	case g.Instance != "" && g.Instance != instance:
		return "the backend server has just been replaced"
	case g.Traffic == nil:
		return ""
	case version == "":
		// It may be one that must run nothing; its next heartbeat tells.
		return "a roll-out is known, and the backend server has not said its version yet"
	case !g.Traffic.PermitsAny(version, vm):
		return "the roll-out lets version " + version + " run nothing here"
	}
	return ""
}
