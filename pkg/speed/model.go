// Package speed models how fast a backend server works from the slowdowns that it
// reports: what its baseline is, whether it is in a slow period, and how long that is
// likely to last. A slowdown is a run time as a multiple of that at normal speed. A slow
// period is a short time with a slowdown far above the baseline, as noisy neighbours cause
// it. A run keeps the speed that the backend server has at its start, so it may pay to
// hold a run until a slow period ends. Times are nanoseconds of a monotonic clock that the
// caller passes in. A Model is not safe for concurrent use.
// Source: docs/design/gate.md, "Held starts".
package speed

import (
	"math"
	"time"
)

const (
	// slowPeriodRatio is the ratio to the baseline above which a reported slowdown begins
	// a slow period. Run times alone vary by a third.
	slowPeriodRatio = 1.5
	// baselineWindow is how long a backend server must be slowed without a break until
	// the slowdown becomes its baseline, in nanoseconds. Slow periods last 200 to 500 ms
	// on the users' sites.
	baselineWindow = int64(time.Second)
	// maxReportGap is the longest time between two reports, in nanoseconds, that is halved
	// to estimate when a slow period began or ended; a longer one counts as this.
	maxReportGap = int64(100 * time.Millisecond)
	// trustWeight is the weight of one slowed run in the trust.
	trustWeight = 1.0 / 8
	// priorGap, in nanoseconds, and priorRatio are the initial values of meanGap and
	// meanRatio; periodWeight is the weight of one slow period in these.
	priorGap     = float64(time.Second)
	priorRatio   = 4.0
	periodWeight = 1.0 / 8
	// maxTrust is the upper bound of the share of the reported slowdown that one run is
	// taken to show.
	maxTrust = 1.5
	// maxReportAge is the age, in nanoseconds, up to which a report tells the slowdown at
	// which a run starts: a slow period begins within it in 1 of 40 cases on the users'
	// sites.
	maxReportAge = int64(20 * time.Millisecond)
)

// report is a reported slowdown and when it came.
type report struct {
	at       int64
	slowdown float64
}

// Model models the speed of one backend server.
type Model struct {
	// last is the newest report; its at is 0 before the first one.
	last report
	// minima are the reports of the baseline window that are lower than all later ones,
	// the lowest first.
	minima []report
	// slowSince is when the present slow period began; 0: there is none.
	slowSince int64
	lengths   lengthHistogram
	// normalSince is when the last slow period ended; 0: none has. meanGap is the mean
	// time between two slow periods, in nanoseconds, and meanRatio the mean ratio of their
	// slowdown to the baseline.
	normalSince int64
	meanGap     float64
	meanRatio   float64
	// trust is the share of the reported slowdown that runs show: 1 when they are as slow
	// as reported, 0 when they are not slowed.
	trust float64
}

// NewModel returns the model of a backend server that has reported nothing yet.
func NewModel() *Model {
	return &Model{trust: 1, lengths: newLengthHistogram(), meanGap: priorGap, meanRatio: priorRatio}
}

// ObserveSlowdown adds a slowdown that the backend server reports. Values below 1 count
// as 1.
func (m *Model) ObserveSlowdown(now int64, slowdown float64) {
	slowdown = max(slowdown, 1)
	before := m.last
	m.last = report{at: now, slowdown: slowdown}
	m.addMinimum(m.last)
	// A slow period that begins or ends does so halfway between two reports.
	changedAt := now - min(now-before.at, maxReportGap)/2
	switch slow := m.isSlow(); {
	case slow && m.slowSince == 0:
		m.beginSlowPeriod(changedAt)
	case !slow && m.slowSince != 0:
		m.endSlowPeriod(changedAt, before.slowdown)
	}
}

// beginSlowPeriod records the beginning of a slow period, its slowdown and the time since
// the one before.
func (m *Model) beginSlowPeriod(at int64) {
	m.slowSince = at
	m.meanRatio += (m.last.slowdown/m.BaselineSlowdown() - m.meanRatio) * periodWeight
	if m.normalSince != 0 {
		m.meanGap += (float64(at-m.normalSince) - m.meanGap) * periodWeight
	}
}

// endSlowPeriod records the end of a slow period, in which lastSlowdown was reported last.
// If the newest report is hardly lower, the period has ended only because its slowdown
// has become the baseline: it is recorded as a lasting one.
func (m *Model) endSlowPeriod(at int64, lastSlowdown float64) {
	length := time.Duration(at - m.slowSince)
	if m.last.slowdown > lastSlowdown/slowPeriodRatio {
		length = lastingLength
	}
	m.lengths.record(length)
	m.slowSince = 0
	m.normalSince = at
}

// StalenessCost returns by how much the time of a run with the given work differs from
// the expected one, on average, because a slow period may have begun since the newest
// report or, in a slow period, because it may have ended. It returns math.MaxInt64 before
// the first report.
func (m *Model) StalenessCost(now int64, work time.Duration) time.Duration {
	if m.last.at == 0 {
		return math.MaxInt64
	}
	meanLength := m.meanGap
	if m.InSlowPeriod() {
		meanLength = m.lengths.mean()
	}
	changeProbability := 1 - math.Exp(-float64(now-m.last.at)/max(meanLength, 1))
	return time.Duration(changeProbability * float64(work) * m.BaselineSlowdown() * m.trust * (m.meanRatio - 1))
}

// addMinimum adds a report to minima, and removes the reports that are no lower than it
// and those that have left the baseline window.
func (m *Model) addMinimum(r report) {
	for len(m.minima) > 0 && m.minima[len(m.minima)-1].slowdown >= r.slowdown {
		m.minima = m.minima[:len(m.minima)-1]
	}
	m.minima = append(m.minima, r)
	first := 0
	for m.minima[first].at < r.at-baselineWindow {
		first++
	}
	m.minima = m.minima[first:]
}

// Slowdown returns the newest reported slowdown, or 1 before the first report.
func (m *Model) Slowdown() float64 { return max(m.last.slowdown, 1) }

// BaselineSlowdown returns the slowdown outside slow periods: the least one reported
// within the baseline window, or 1 before the first report. A backend server that has
// just started is slow for seconds; that is its baseline, not a slow period.
func (m *Model) BaselineSlowdown() float64 {
	if len(m.minima) == 0 {
		return 1
	}
	return m.minima[0].slowdown
}

// isSlow reports whether the newest reported slowdown is notably above the baseline.
func (m *Model) isSlow() bool { return m.last.slowdown > slowPeriodRatio*m.BaselineSlowdown() }

// InSlowPeriod reports whether the backend server is in a slow period.
func (m *Model) InSlowPeriod() bool { return m.slowSince != 0 }

// ExpectedSlowdown returns the expected slowdown of a run that starts now: the reported
// one, corrected by what runs in slow periods have shown.
func (m *Model) ExpectedSlowdown() float64 {
	baseline := m.BaselineSlowdown()
	return baseline + m.trust*(m.Slowdown()-baseline)
}

// SlowdownAtStart returns the newest reported slowdown, for a run that starts now. fresh
// is false when the report is too old to tell the speed of the run.
func (m *Model) SlowdownAtStart(now int64) (slowdown float64, fresh bool) {
	return m.Slowdown(), m.last.at != 0 && now-m.last.at <= maxReportAge
}

// RecordRun updates the trust from a run that started in a slow period. slowdown is that
// of SlowdownAtStart, ratio the run time as a multiple of the run's work.
func (m *Model) RecordRun(slowdown, ratio float64) {
	if slowdown <= 1 {
		return
	}
	shown := (ratio - 1) / (slowdown - 1)
	m.trust += (min(max(shown, 0), maxTrust) - m.trust) * trustWeight
}

// Run describes a run that could start now.
type Run struct {
	// Work is the expected run time at normal speed.
	Work time.Duration
	// TimeLeft is the time within which the run should end; 0: no limit.
	TimeLeft time.Duration
	// LatePenalty is the cost of ending later than that, as a time.
	LatePenalty time.Duration
}

// HoldForecast is what a run can expect that is held until a slow period ends.
type HoldForecast struct {
	// Wait is the expected time until the run starts.
	Wait time.Duration
	// OnTimeProbability is the probability, 0 to 1, that the run then ends within its
	// TimeLeft.
	OnTimeProbability float64
}

// ShouldHold decides whether a run should wait for the end of the slow period. It returns
// false if the run does better when it starts now.
func (m *Model) ShouldHold(now int64, run Run) (HoldForecast, bool) {
	if !m.InSlowPeriod() {
		return HoldForecast{}, false
	}
	normal := float64(run.Work) * m.BaselineSlowdown()
	slowed := float64(run.Work) * m.ExpectedSlowdown()
	return m.lengths.forecastHold(time.Duration(now-m.slowSince), run, normal, slowed)
}
