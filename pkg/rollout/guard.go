package rollout

// Guard restricts what one backend server may run during a roll-out. The zero value and a
// nil Guard restrict nothing.
type Guard struct {
	// Traffic decides which versions may run requests; nil permits all.
	Traffic *TrafficPolicy
	// Revision is the revision of the plan that Traffic follows.
	Revision uint64
	// BlockReason is not empty where the backend server may run nothing, whatever Traffic
	// permits.
	BlockReason string
	// Instance is the incarnation of the backend server for which the guard was made. Any
	// other incarnation may run nothing until it has a guard of its own. Empty stands for
	// all incarnations.
	Instance string
}

// RefusalReasonFor returns why an incarnation of a backend server may run nothing, given
// its version, which is empty while it is not known, and its VM. It returns "" where the
// incarnation may run requests.
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
		// The version may be one that must run nothing. The next heartbeat reports it.
		return "a roll-out is known, and the backend server has not reported its version yet"
	case !g.Traffic.PermitsAny(version, vm):
		return "the roll-out does not permit version " + version + " to run requests here"
	}
	return ""
}
