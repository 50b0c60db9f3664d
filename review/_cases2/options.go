package main

import "time"

func init() { cases["options"] = options }

// options: a client sends requests whose path is an asterisk. Without the disruption their path is
// that of a route.
func options(trouble bool) (*world, error) {
	w, err := newWorld([]string{"alpha", "alpha", "beta"})
	if err != nil {
		return nil, err
	}
	if err := w.begin(configuration(1, []route{
		{"read", "/read/", "idempotent", "alpha", 3000, 1000, 2},
	}, []string{"alpha", "beta"})); err != nil {
		return w, err
	}
	target := "/read/x"
	if trouble {
		target = "*"
	}
	for n := range 12 {
		m := w.machines[n%len(w.machines)]
		id, a := w.send(m, "OPTIONS", target, "", time.Second)
		runs := 0
		for _, m := range w.machines {
			for _, r := range m.worker.allRuns() {
				if r.ID == id {
					runs++
				}
			}
		}
		seal := ""
		if a.header != nil {
			seal = a.header.Get(names["seal"])
		}
		w.logf("OPTIONS %s at %s, id %s: status %d, seal %q, body %q, error %v, run %d times", target, m.name, id, a.status, seal, a.body, a.err, runs)
		if a.status/100 == 2 && seal == "" {
			w.breakRule("MIXED: request %s got the success %d without a worker's seal, run %d times", id, a.status, runs)
		}
	}
	return w, nil
}
