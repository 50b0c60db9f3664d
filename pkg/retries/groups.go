package retries

import (
	"math"
	"strconv"

	"github.com/rushramp/rushramp/pkg/utils"
)

const (
	// groupSize is the number of daemons that share one part of the slack where the slack
	// suffices for that, and so the number of links to the daemon that grants it.
	groupSize = 64
	// groupedSlackShare is the part of the slack that groups share. The rest covers the random
	// deviation of what daemons that each earn less than one retry get in one window.
	groupedSlackShare = 0.8
)

// Groups are the groups of daemons in one data centre that share the slack of one class.
type Groups struct {
	class      Class
	dataCentre string
	count      int
	// slack is the number of retries of all groups together, in each window.
	slack float64
}

// NewGroups returns the groups of a data centre with a number of the daemons of a deployment.
// slack is that of all daemons together.
func NewGroups(class Class, dataCentre string, slack float64, inDataCentre, daemons int) Groups {
	out := Groups{class: class, dataCentre: dataCentre, count: 1}
	if daemons == 0 {
		return out
	}
	out.slack = groupedSlackShare * slack * float64(inDataCentre) / float64(daemons)
	out.count = max(1, min((inDataCentre+groupSize-1)/groupSize, int(out.slack)))
	return out
}

// Count returns the number of groups.
func (g Groups) Count() int { return g.count }

// Name returns the name of a group, by which the daemon that grants its slack is chosen.
func (g Groups) Name(group int) string {
	return "retries " + strconv.Itoa(int(g.class)) + " " + g.dataCentre + " " + strconv.Itoa(group)
}

// Of returns the group of a daemon.
func (g Groups) Of(vm string) int {
	return int(utils.RendezvousWeight("retries", vm) % uint64(g.count))
}

// Slack returns the number of retries of a group in each window. The groups' parts are rounded
// so that the sum over all data centres is right in the mean.
func (g Groups) Slack(group int) int {
	part := g.slack / float64(g.count)
	fraction := float64(utils.RendezvousWeight("slack", g.Name(group))) / math.MaxUint64
	whole := math.Floor(part)
	if fraction < part-whole {
		whole++
	}
	return int(whole)
}
