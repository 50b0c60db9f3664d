package tables

import (
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Endpoint is what the hot path needs of a member that guards a backend server.
// A row keeps its Route as long as the VM is known.
type Endpoint struct {
	// VM, Service, DataCentre and the addresses never change.
	VM            string
	Service       string
	DataCentre    string
	Region        string
	LinkAddress   string
	CallerAddress string
	Load          *Load
	runner        atomic.Pointer[call.Runner]
	// version is the one of the backend server now: another one may take its place.
	version atomic.Pointer[string]
}

// Version is the version that the backend server has said; empty: not known.
func (e *Endpoint) Version() string {
	if v := e.version.Load(); v != nil {
		return *v
	}
	return ""
}

// SetVersion notes the version that the backend server has said.
func (e *Endpoint) SetVersion(version string) { e.version.Store(&version) }

// SetRunner says who runs calls of this route; nil when there is no link.
func (e *Endpoint) SetRunner(r call.Runner) {
	if r == nil {
		e.runner.Store(nil)
		return
	}
	e.runner.Store(&r)
}

// Runner returns who runs calls of this route, or nil.
func (e *Endpoint) Runner() call.Runner {
	if r := e.runner.Load(); r != nil {
		return *r
	}
	return nil
}

// bucketCount divide the members for comparing two tables: a difference costs the
// rows of its bucket, not the table.
const bucketCount = 256

// tombstoneTTL is how long a VM that is gone is remembered, so that a peer
// with old news does not bring it back. In nanoseconds.
const tombstoneTTL = 15 * 60 * 1e9

// Members is the table of VMs, one row each, columns by row number. Rows of
// VMs that are gone are used again.
type Members struct {
	Record   []wire.Member
	Endpoint []*Endpoint
	// Listed is true for a member that the platform's list has shown to this
	// daemon; Missing counts the reads since that did not. Since is when the
	// row was made.
	Listed      []bool
	MissedReads []int
	AddedAt     []int64

	inUse     []bool
	freeRows  []int
	byID      map[string]int
	byService map[string]map[int]struct{}
	// serviceChangeCounts grows with each change of a service's rows.
	serviceChangeCounts map[string]uint64
	// countByDataCentre counts the rows of each data centre.
	countByDataCentre map[string]int
	// countByRegion counts the rows of each region that is known.
	countByRegion map[string]int
	tombstones    map[string]tombstone
	digests       [bucketCount]uint32
	changeCount   uint64
	// pendingChanges are rows that changed and were not passed on yet.
	pendingChanges []MemberChange
}

// MemberChange is a row that changed here, and the link that it came over; nil when
// this daemon learnt it in another way.
type MemberChange struct {
	Record wire.Member
	From   *link.Peer
}

// tombstone remembers a VM that is gone.
type tombstone struct {
	record    wire.Member
	removedAt int64
}

// NewMembers makes an empty table.
func NewMembers() *Members {
	return &Members{
		byID: map[string]int{}, byService: map[string]map[int]struct{}{},
		serviceChangeCounts: map[string]uint64{}, countByDataCentre: map[string]int{}, countByRegion: map[string]int{}, tombstones: map[string]tombstone{},
	}
}

// Len counts the rows in use.
func (m *Members) Len() int { return len(m.byID) }

// ChangeCount grows with each change of the table, so that a system can see
// cheaply that there was none.
func (m *Members) ChangeCount() uint64 { return m.changeCount }

// ServiceChangeCount grows with each change of a row of a service.
func (m *Members) ServiceChangeCount(name string) uint64 { return m.serviceChangeCounts[name] }

// CountInDataCentre counts the members of a data centre.
func (m *Members) CountInDataCentre(name string) int { return m.countByDataCentre[name] }

// RegionCount counts the regions that members stand in; one that is not known is one.
func (m *Members) RegionCount() int { return len(m.countByRegion) }

// VMsByService counts the VMs beside each service.
func (m *Members) VMsByService() map[string]int {
	out := make(map[string]int, len(m.byService))
	for service, rows := range m.byService {
		if len(rows) > 0 {
			out[service] = len(rows)
		}
	}
	return out
}

// Find returns the row number of a VM; ok is false when it is not known.
func (m *Members) Find(id string) (row int, ok bool) {
	row, ok = m.byID[id]
	return row, ok
}

// Leaving is true for a member that takes no new calls.
func (m *Members) Leaving(row int) bool { return m.Record[row].State == wire.MemberLeaving }

// EachRow calls do for each row in use, in no particular order.
func (m *Members) EachRow(do func(row int)) {
	for row, used := range m.inUse {
		if used {
			do(row)
		}
	}
}

// EachRowOfService calls do for each member of a service.
func (m *Members) EachRowOfService(name string, do func(row int)) {
	for row := range m.byService[name] {
		do(row)
	}
}

// supersededBy is true when what b says of a VM goes before what a says.
func supersededBy(held, update *wire.Member) bool {
	switch {
	case held.Started != update.Started:
		return update.Started > held.Started
	case held.Incarnation != update.Incarnation:
		return update.Incarnation > held.Incarnation
	case held.State != update.State:
		return update.State > held.State
	case held.Revision != update.Revision:
		return update.Revision > held.Revision
	}
	// Two lists that differ in addresses only: any rule will do that all
	// daemons share.
	return *held != *update && digest(update) > digest(held)
}

// Tombstone returns what is remembered of a VM that is gone.
func (m *Members) Tombstone(id string) (wire.Member, bool) {
	removed, ok := m.tombstones[id]
	return removed.record, ok
}

// Merge takes what somebody says of a VM over, when it is newer than what is
// known. It returns the route that this ended, if any, and whether anything
// changed. now is in nanoseconds; from is the link that it came over, or nil.
func (m *Members) Merge(now int64, from *link.Peer, update wire.Member) (removed *Endpoint, changed bool) {
	removed, changed = m.merge(now, update)
	if changed {
		m.pendingChanges = append(m.pendingChanges, MemberChange{Record: update, From: from})
	}
	return removed, changed
}

// TakeChanges returns the rows to pass on, and forgets them.
func (m *Members) TakeChanges() []MemberChange {
	out := m.pendingChanges
	m.pendingChanges = nil
	return out
}

func (m *Members) merge(now int64, update wire.Member) (removed *Endpoint, changed bool) {
	row, known := m.byID[update.VM]
	if known && !supersededBy(&m.Record[row], &update) {
		return nil, false
	}
	if buried, isRemoved := m.tombstones[update.VM]; !known && isRemoved && !supersededBy(&buried.record, &update) {
		return nil, false
	}
	if update.State == wire.MemberGone {
		m.addTombstone(now, update)
		return m.removeRow(update.VM), known
	}
	if known && sameEndpoint(&m.Record[row], &update) {
		m.replaceRecord(row, update)
		return nil, true
	}
	// The name stands for another process now.
	removed = m.removeRow(update.VM)
	m.addRow(now, update)
	return removed, true
}

func sameEndpoint(a, b *wire.Member) bool {
	return a.Started == b.Started && a.Links == b.Links && a.Service == b.Service && a.DataCentre == b.DataCentre && a.Region == b.Region
}

func (m *Members) replaceRecord(row int, record wire.Member) {
	m.toggleRecord(&m.Record[row])
	m.Record[row] = record
	m.Endpoint[row].SetVersion(record.Version)
	m.toggleRecord(&record)
}

func (m *Members) addRow(now int64, record wire.Member) {
	row := m.allocateRow()
	m.Record[row] = record
	m.Listed[row] = false
	m.MissedReads[row] = 0
	m.AddedAt[row] = now
	m.Endpoint[row] = &Endpoint{
		VM: record.VM, Service: record.Service, DataCentre: record.DataCentre, Region: record.Region,
		LinkAddress: record.Links, CallerAddress: record.Callers, Load: NewLoad(int(record.Slots)),
	}
	m.Endpoint[row].SetVersion(record.Version)
	m.inUse[row] = true
	m.byID[record.VM] = row
	delete(m.tombstones, record.VM)
	if m.byService[record.Service] == nil {
		m.byService[record.Service] = map[int]struct{}{}
	}
	m.byService[record.Service][row] = struct{}{}
	m.countByDataCentre[record.DataCentre]++
	m.countByRegion[record.Region]++
	m.toggleRecord(&record)
}

func (m *Members) allocateRow() int {
	if n := len(m.freeRows); n > 0 {
		row := m.freeRows[n-1]
		m.freeRows = m.freeRows[:n-1]
		return row
	}
	m.Record = append(m.Record, wire.Member{})
	m.Endpoint = append(m.Endpoint, nil)
	m.MissedReads = append(m.MissedReads, 0)
	m.Listed = append(m.Listed, false)
	m.AddedAt = append(m.AddedAt, 0)
	m.inUse = append(m.inUse, false)
	return len(m.Record) - 1
}

func (m *Members) removeRow(id string) *Endpoint {
	row, ok := m.byID[id]
	if !ok {
		return nil
	}
	m.toggleRecord(&m.Record[row])
	endpoint := m.Endpoint[row]
	delete(m.byID, id)
	delete(m.byService[endpoint.Service], row)
	m.countByDataCentre[endpoint.DataCentre]--
	if m.countByRegion[endpoint.Region]--; m.countByRegion[endpoint.Region] == 0 {
		delete(m.countByRegion, endpoint.Region)
	}
	m.inUse[row] = false
	m.Endpoint[row] = nil
	m.freeRows = append(m.freeRows, row)
	return endpoint
}

// addTombstone remembers that a VM is gone, and forgets those buried long ago.
func (m *Members) addTombstone(now int64, record wire.Member) {
	m.tombstones[record.VM] = tombstone{record: record, removedAt: now}
	for id, removed := range m.tombstones {
		if now-removed.removedAt > tombstoneTTL {
			delete(m.tombstones, id)
		}
	}
}

// toggleRecord adds a row to the digests, or takes it out again: both are the same
// exclusive or.
func (m *Members) toggleRecord(record *wire.Member) {
	m.changeCount++
	m.serviceChangeCounts[record.Service]++
	m.digests[bucketOf(record.VM)] ^= digest(record)
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

func digest(record *wire.Member) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{
		record.VM, strconv.FormatUint(record.Started, 10), strconv.FormatUint(record.Incarnation, 10), strconv.Itoa(int(record.State)),
		record.DataCentre, record.Service, record.Links, record.Callers, strconv.Itoa(int(record.Slots)),
		strconv.FormatUint(record.Revision, 10), strconv.Itoa(int(record.Backend)), record.Version,
	} {
		// Writing to a digest has no error to give.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return uint32(d.Sum64())
}

// Digest is one number for the whole table; two tables with the same rows have
// the same.
func (m *Members) Digest() uint64 {
	out := uint64(0)
	for i, d := range m.digests {
		// A different factor for each bucket, so that equal digests in two
		// buckets do not cancel out.
		out ^= (uint64(d) + 1) * (2*uint64(i) + 0x9e3779b97f4a7c15)
	}
	return out
}

// BucketDigests returns the digest of each bucket.
func (m *Members) BucketDigests() []uint32 { return append([]uint32(nil), m.digests[:]...) }

// DifferingRows returns the rows, those of VMs that are gone too, of the buckets
// in which a peer's digests differ from this table's.
func (m *Members) DifferingRows(peerDigests []uint32) []wire.Member {
	if len(peerDigests) != bucketCount {
		return nil
	}
	differs := func(id string) bool { bucket := bucketOf(id); return peerDigests[bucket] != m.digests[bucket] }
	var out []wire.Member
	m.EachRow(func(row int) {
		if differs(m.Record[row].VM) {
			out = append(out, m.Record[row])
		}
	})
	for id, removed := range m.tombstones {
		if differs(id) {
			out = append(out, removed.record)
		}
	}
	return out
}
