package gate

// fairQueueing orders the jobs of one rank among the teams by start-time fair queueing
// (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996). A job's start tag is
// the virtual time at which its team's earlier work would be done if all teams with
// waiting jobs had equal shares. A team that suddenly sends much more than usual
// therefore waits behind its own jobs, not in front of those of others. Jobs without a
// team start before those with one, in the order of their deadlines.
//
// Deficit round robin would not work here, because its rounds cannot be combined with
// ranks and deadlines. A queue per team would cost memory for every team.
type fairQueueing struct {
	// virtualTime is the start tag of the job that started last.
	virtualTime float64
	// finishTags holds the virtual time at which each team's work so far is done. A team
	// without an entry has no work left.
	finishTags map[string]float64
}

// maxFinishTags is the number of finish tags above which those of teams with no work left
// are dropped. With 24 bytes each, and the names, they take about 100 kB.
const maxFinishTags = 1024

// assignStartTag sets the start tag of a job; that of a job without a team is 0.
func (f *fairQueueing) assignStartTag(job *Job) {
	job.startTag = 0
	if job.Team != "" {
		job.startTag = max(f.virtualTime, f.finishTags[job.Team])
	}
}

// charge adds the work of an admitted job to its team's finish tag.
func (f *fairQueueing) charge(job *Job) {
	if job.Team == "" {
		return
	}
	if f.finishTags == nil {
		f.finishTags = map[string]float64{}
	}
	f.finishTags[job.Team] = job.startTag + job.Work.Seconds()
	if len(f.finishTags) > maxFinishTags {
		f.dropIdleTeams()
	}
}

// refund takes back the charge for an admitted job that will not run. others are the team's
// and other teams' jobs that wait: those behind it in its team move up. It reports whether
// the order of any of these has changed.
func (f *fairQueueing) refund(job *Job, others ...[]*Job) (changed bool) {
	if job.Team == "" {
		return false
	}
	work := job.Work.Seconds()
	if finishTag, busy := f.finishTags[job.Team]; busy {
		f.finishTags[job.Team] = max(finishTag-work, job.startTag)
	}
	for _, jobs := range others {
		for _, other := range jobs {
			if other.Team == job.Team && other.startTag > job.startTag {
				other.startTag = max(other.startTag-work, job.startTag)
				changed = true
			}
		}
	}
	return changed
}

// recordStart advances the virtual time to the start tag of a job that starts.
func (f *fairQueueing) recordStart(job *Job) { f.virtualTime = max(f.virtualTime, job.startTag) }

// dropIdleTeams removes the finish tags of the teams that have no work left.
func (f *fairQueueing) dropIdleTeams() {
	for team, finishTag := range f.finishTags {
		if finishTag <= f.virtualTime {
			delete(f.finishTags, team)
		}
	}
}
