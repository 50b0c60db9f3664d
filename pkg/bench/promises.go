package bench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/placement"
)

// Violations are counts that must be 0. They come from the stand-ins' ledgers
// and from what callers received, not from the daemons' word.
type Violations struct {
	// Crossed and Truncated are answers that were not the call's own, or whole.
	Crossed   int `json:"crossed"`
	Truncated int `json:"truncated"`
	// Doubled are never-repeat keys that ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun are calls that ran although their caller was told "no".
	FalseNotRun int `json:"false_not_run"`
	// WrongPlace are runs in a data centre that the placement did not allow.
	WrongPlace int `json:"wrong_place"`
	// CutByDrain are calls in flight that a planned stop cut off.
	CutByDrain int `json:"cut_by_drain"`
	// WorkAfterLeaving are runs that began more than a few seconds after the
	// server was told to leave.
	WorkAfterLeaving int `json:"work_after_leaving"`
	// ConfigReverts are placement versions that went down at a daemon.
	ConfigReverts int `json:"config_reverts"`
	// BudgetOverruns are seconds in which measuring took more than agreed.
	BudgetOverruns int `json:"budget_overruns"`
}

// TotalViolations counts the promises that did not hold.
func (p *Violations) TotalViolations() int {
	return p.Crossed + p.Truncated + p.Doubled + p.FalseNotRun + p.WrongPlace +
		p.CutByDrain + p.WorkAfterLeaving + p.ConfigReverts + p.BudgetOverruns
}

// ran is what all ledgers say of a call.
type ran struct {
	times int
	runs  []runAt
}

// runAt is where and when a call began to run.
type runAt struct {
	dataCentre string
	at         time.Time
}

// inForceBound is how long after its acceptance a placement version may not
// yet be in force somewhere.
const inForceBound = 2500 * time.Millisecond

// rules are the placements that were in force, from the store's history.
type rules struct{ versions []ruleVersion }

// ruleVersion is a version and the time in which it may have been followed.
type ruleVersion struct {
	compiled    *placement.Compiled
	from, until time.Time
}

func (c *cluster) rules() (*rules, error) {
	entries, err := placement.NewStore(c.store, c.store).History(context.Background(), 0, 1<<20)
	if err != nil {
		return nil, errors.Wrap(err, "history of placements")
	}
	out := &rules{}
	doc := &placement.Document{}
	for i, e := range entries {
		doc, err = placement.Replay(doc, []placement.LogEntry{e}, e.Hash)
		if err != nil {
			return nil, err
		}
		v := ruleVersion{compiled: placement.Compile(doc), from: e.At, until: e.At.Add(1000 * time.Hour)}
		if i+1 < len(entries) {
			v.until = entries[i+1].At.Add(inForceBound)
		}
		out.versions = append(out.versions, v)
	}
	return out, nil
}

// allow is true when a version that may have been followed at the time of a
// run lets the kind be handled there.
func (ru *rules) allow(a *arrival, r runAt) bool {
	for _, v := range ru.versions {
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

func checkPromises(c *cluster, outcomes []outcome) (Violations, error) {
	var out Violations
	calls, keys := c.ledgers()
	rules, err := c.rules()
	if err != nil {
		return out, err
	}
	for i := range outcomes {
		o := &outcomes[i]
		out.checkCall(rules, o, calls[o.arrival.ledgerID()])
	}
	for _, times := range keys {
		if times > 1 {
			out.Doubled++
		}
	}
	for _, n := range c.nodes {
		out.BudgetOverruns += int(n.current().Measure.Usage().Overruns)
	}
	return out, nil
}

func (p *Violations) checkCall(rules *rules, o *outcome, r ran) {
	if o.crossed {
		p.Crossed++
	}
	if o.truncated {
		p.Truncated++
	}
	if o.err == nil && o.ran == "no" && r.times > 0 {
		p.FalseNotRun++
	}
	for _, run := range r.runs {
		if !rules.allow(o.arrival, run) {
			p.WrongPlace++
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

// ledgers puts the records of all backend servers together: by call, and how
// often each Idempotency-Key ran.
func (c *cluster) ledgers() (calls map[string]ran, keys map[string]int) {
	calls, keys = map[string]ran{}, map[string]int{}
	for _, n := range c.nodes {
		if n.backend == nil {
			continue
		}
		for id, run := range n.backend.Ledger().Runs() {
			r := calls[id]
			r.times += run.Times
			r.runs = append(r.runs, runAt{n.vm.DataCentre, run.At})
			calls[id] = r
			if run.Key != "" {
				keys[run.Key] += run.Times
			}
		}
	}
	return calls, keys
}
