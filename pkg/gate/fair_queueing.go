package gate

// fairTurns orders the jobs of teams among those of one rank by start-time fair queueing
// (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996): a job's turn is the
// virtual time at which its team's work before it would be done if all teams that wait had
// equal shares. A team that sends many times its usual, within its limit, so waits behind
// itself and not in front of others. Weighed against deficit round robin, whose rounds a
// rank and a deadline cannot be mixed into, and against a queue a team, which costs memory
// for each. Jobs without a team go before those of teams of their rank, in the order of
// their deadlines.
type fairTurns struct {
	// virtual is the turn of the job that started last.
	virtual float64
	// ends is the virtual time at which each team's work so far is done. A team that is
	// not in it has none left.
	ends map[string]float64
}

// mostTeams is how many teams are followed until those with no work left are forgotten:
// with 24 bytes each and their names some 100 kB.
const mostTeams = 1024

// give gives a job its turn; one without a team has the first.
func (f *fairTurns) give(job *Job) {
	job.turn = 0
	if job.Team != "" {
		job.turn = max(f.virtual, f.ends[job.Team])
	}
}

// admitted charges a job's work to its team; one that was refused costs nothing.
func (f *fairTurns) admitted(job *Job) {
	if job.Team == "" {
		return
	}
	if f.ends == nil {
		f.ends = map[string]float64{}
	}
	f.ends[job.Team] = job.turn + job.Work.Seconds()
	if len(f.ends) > mostTeams {
		f.forget()
	}
}

// started takes over that a job has started.
func (f *fairTurns) started(job *Job) { f.virtual = max(f.virtual, job.turn) }

func (f *fairTurns) forget() {
	for team, end := range f.ends {
		if end <= f.virtual {
			delete(f.ends, team)
		}
	}
}
