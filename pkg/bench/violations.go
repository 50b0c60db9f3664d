package bench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/placement"
)

// Violations counts violations of rushramp's guarantees; all counts must be 0.
// They come from the stand-ins' ledgers, from what callers received and from
// the daemons' counters.
type Violations struct {
	// Crossed counts answers that belong to another call, Truncated answers
	// that are incomplete.
	Crossed   int `json:"crossed"`
	Truncated int `json:"truncated"`
	// Doubled counts keys of never-repeat calls that ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts calls that ran although their answer said
	// Rushramp-Ran: no.
	FalseNotRun int `json:"false_not_run"`
	// WrongPlace counts runs in a data centre that the placement did not allow.
	WrongPlace int `json:"wrong_place"`
	// CutByDrain counts calls that were still in flight after the drain of a
	// planned stop and were cut off.
	CutByDrain int `json:"cut_by_drain"`
	// WorkAfterLeaving counts planned stops after which the server received a
	// call later than maxWorkAfterLeave.
	WorkAfterLeaving int `json:"work_after_leaving"`
	// ConfigReverts counts decreases of a daemon's placement version.
	ConfigReverts int `json:"config_reverts"`
	// BudgetOverruns counts seconds in which load measurement used more than
	// its budget.
	BudgetOverruns int `json:"budget_overruns"`
}

// TotalViolations returns the sum of all counts.
func (v *Violations) TotalViolations() int {
	return v.Crossed + v.Truncated + v.Doubled + v.FalseNotRun + v.WrongPlace +
		v.CutByDrain + v.WorkAfterLeaving + v.ConfigReverts + v.BudgetOverruns
}

// callRuns holds the runs of one call in the ledgers of all backend servers.
type callRuns struct {
	times int
	runs  []runRecord
}

// runRecord is where and when a call began to run.
type runRecord struct {
	dataCentre string
	at         time.Time
}

// maxPlacementDelay is how long after the acceptance of a placement version
// daemons may still follow the previous one.
const maxPlacementDelay = 2500 * time.Millisecond

// placementHistory holds all accepted placement versions.
type placementHistory struct{ versions []placementPeriod }

// placementPeriod is a version and the time in which daemons may follow it.
type placementPeriod struct {
	compiled    *placement.Compiled
	from, until time.Time
}

// placementHistory reads the accepted versions from the store.
func (c *cluster) placementHistory() (*placementHistory, error) {
	entries, err := placement.NewStore(c.store, c.store).History(context.Background(), 0, 1<<20)
	if err != nil {
		return nil, errors.Wrap(err, "read the placement history")
	}
	out := &placementHistory{}
	doc := &placement.Document{}
	for i, e := range entries {
		doc, err = placement.Replay(doc, []placement.LogEntry{e}, e.Hash)
		if err != nil {
			return nil, err
		}
		v := placementPeriod{compiled: placement.Compile(doc), from: e.At, until: e.At.Add(1000 * time.Hour)}
		if i+1 < len(entries) {
			v.until = entries[i+1].At.Add(maxPlacementDelay)
		}
		out.versions = append(out.versions, v)
	}
	return out, nil
}

// allowed reports whether a version that daemons could follow at the time of
// the run permits the call's kind in that data centre.
func (ph *placementHistory) allowed(a *arrival, r runRecord) bool {
	for _, v := range ph.versions {
		if r.at.Before(v.from) || r.at.After(v.until) {
			continue
		}
		service := v.compiled.Service(a.service.Name)
		if service == nil {
			continue
		}
		for _, k := range service.Kinds {
			if k.Name == a.kind.Placement.Name && k.Allows(r.dataCentre) {
				return true
			}
		}
	}
	return false
}

// countViolations compares the outcomes of calls with the ledgers and the
// placement history.
func countViolations(c *cluster, outcomes []outcome) (Violations, error) {
	var out Violations
	calls, keys := c.mergeLedgers()
	history, err := c.placementHistory()
	if err != nil {
		return out, err
	}
	for i := range outcomes {
		o := &outcomes[i]
		out.countCall(history, o, calls[o.arrival.ledgerID()])
	}
	for _, times := range keys {
		if times > 1 {
			out.Doubled++
		}
	}
	for _, n := range c.nodes {
		out.BudgetOverruns += int(n.currentDaemon().Measure.Usage().Overruns)
	}
	return out, nil
}

// countCall adds the violations of one call.
func (v *Violations) countCall(history *placementHistory, o *outcome, r callRuns) {
	if o.crossed {
		v.Crossed++
	}
	if o.truncated {
		v.Truncated++
	}
	if o.err == nil && o.ran == "no" && r.times > 0 {
		v.FalseNotRun++
	}
	for _, run := range r.runs {
		if !history.allowed(o.arrival, run) {
			v.WrongPlace++
		}
	}
}

func allowedIn(k *Kind, dataCentre string) bool {
	for _, dc := range k.Placement.DataCentres {
		if dc == dataCentre {
			return true
		}
	}
	return false
}

// mergeLedgers combines the ledgers of all backend servers. calls maps a call id
// to its runs, keys an Idempotency-Key to its number of runs.
func (c *cluster) mergeLedgers() (calls map[string]callRuns, keys map[string]int) {
	calls, keys = map[string]callRuns{}, map[string]int{}
	for _, n := range c.nodes {
		if n.backend == nil {
			continue
		}
		for id, run := range n.backend.Ledger().Runs() {
			r := calls[id]
			r.times += run.Times
			r.runs = append(r.runs, runRecord{n.vm.DataCentre, run.At})
			calls[id] = r
			if run.Key != "" {
				keys[run.Key] += run.Times
			}
		}
	}
	return calls, keys
}
