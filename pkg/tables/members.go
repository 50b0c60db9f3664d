package tables

import (
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Endpoint is how requests reach a member: the addresses of its daemon, the link to it
// and the load of its backend server. It stays the same until the VM is removed or
// replaced.
type Endpoint struct {
	// VM, Service, DataCentre, Region and the addresses never change. LinkAddress takes
	// links from other daemons, CallerAddress takes callers' HTTP requests.
	VM            string
	Service       string
	DataCentre    string
	Region        string
	LinkAddress   string
	CallerAddress string
	Load          *Load
	// runner sends calls over the link to the daemon; nil: there is no link.
	runner atomic.Pointer[call.Runner]
	// version is the version that the backend server has reported; an update of the
	// backend server changes it.
	version atomic.Pointer[string]
}

// Version returns the version that the backend server has reported; empty: not known.
func (e *Endpoint) Version() string {
	if v := e.version.Load(); v != nil {
		return *v
	}
	return ""
}

// SetVersion sets the version that the backend server has reported.
func (e *Endpoint) SetVersion(version string) { e.version.Store(&version) }

// SetRunner sets the call.Runner that sends calls over the link to this endpoint; nil: there
// is no link.
func (e *Endpoint) SetRunner(r call.Runner) {
	if r == nil {
		e.runner.Store(nil)
		return
	}
	e.runner.Store(&r)
}

// Runner returns the call.Runner that sends calls over the link to this endpoint, or nil if
// there is no link.
func (e *Endpoint) Runner() call.Runner {
	if r := e.runner.Load(); r != nil {
		return *r
	}
	return nil
}

// bucketCount is the number of buckets into which members are divided to compare two
// tables: for a difference in one row, the rows of its bucket are sent, not the whole
// table.
const bucketCount = 256

// tombstoneTTL is how long a removed VM is remembered, in nanoseconds, so that an
// outdated record of a peer does not add it again.
const tombstoneTTL = 15 * 60 * 1e9

// Members is the table of VMs: each exported slice is a column, indexed by row number.
// Rows of removed VMs are reused.
type Members struct {
	// Record is the newest record of each VM.
	Record   []wire.Member
	Endpoint []*Endpoint
	// Listed is true for a member that this daemon has seen in the platform's list of
	// VMs. MissedReads counts the reads of the list since then in which it was missing.
	// AddedAt is when the row was added, in nanoseconds.
	Listed      []bool
	MissedReads []int
	AddedAt     []int64

	inUse     []bool
	freeRows  []int
	byID      map[string]int
	byService map[string]map[int]struct{}
	// serviceChangeCounts counts the changes to the rows of each service.
	serviceChangeCounts map[string]uint64
	// countByDataCentre counts the rows of each data centre.
	countByDataCentre map[string]int
	// countByRegion counts the rows of each region; the empty name stands for an unknown
	// one.
	countByRegion map[string]int
	// tombstones are the removed VMs, by name.
	tombstones map[string]tombstone
	// digests holds, for each bucket, the exclusive or of the digests of its records.
	digests     [bucketCount]uint32
	changeCount uint64
	// pendingChanges are the changes that TakeChanges has not returned yet.
	pendingChanges []MemberChange
}

// MemberChange is a record that changed the table. From is the link that it was received
// over, or nil if it came another way.
type MemberChange struct {
	Record wire.Member
	From   *link.Peer
}

// tombstone is the last record of a removed VM.
type tombstone struct {
	record    wire.Member
	removedAt int64
}

// NewMembers returns an empty table.
func NewMembers() *Members {
	return &Members{
		byID: map[string]int{}, byService: map[string]map[int]struct{}{},
		serviceChangeCounts: map[string]uint64{}, countByDataCentre: map[string]int{}, countByRegion: map[string]int{}, tombstones: map[string]tombstone{},
	}
}

// Len returns the number of rows in use.
func (m *Members) Len() int { return len(m.byID) }

// ChangeCount returns the number of changes to the table so far. Systems compare it with
// an earlier value to see cheaply whether the table has changed.
func (m *Members) ChangeCount() uint64 { return m.changeCount }

// ServiceChangeCount returns the number of changes to the rows of a service so far.
func (m *Members) ServiceChangeCount(name string) uint64 { return m.serviceChangeCounts[name] }

// CountInDataCentre returns the number of members in a data centre.
func (m *Members) CountInDataCentre(name string) int { return m.countByDataCentre[name] }

// RegionCount returns the number of regions that have members. All members of an unknown
// region count as one region.
func (m *Members) RegionCount() int { return len(m.countByRegion) }

// VMsByService returns the number of VMs of each service that has any.
func (m *Members) VMsByService() map[string]int {
	out := make(map[string]int, len(m.byService))
	for service, rows := range m.byService {
		if len(rows) > 0 {
			out[service] = len(rows)
		}
	}
	return out
}

// Find returns the row number of a VM; ok is false if the table does not contain it.
func (m *Members) Find(id string) (row int, ok bool) {
	row, ok = m.byID[id]
	return row, ok
}

// Leaving reports whether a member takes no new calls.
func (m *Members) Leaving(row int) bool { return m.Record[row].State == wire.MemberLeaving }

// EachRow calls do for each row in use, in no particular order.
func (m *Members) EachRow(do func(row int)) {
	for row, used := range m.inUse {
		if used {
			do(row)
		}
	}
}

// EachRowOfService calls do for each row of a service, in no particular order.
func (m *Members) EachRowOfService(name string, do func(row int)) {
	for row := range m.byService[name] {
		do(row)
	}
}

// supersededBy reports whether update is newer than held, where both are records of one
// VM.
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
	// The two differ in other fields, such as an address. Any order will do as long as all
	// daemons use the same.
	return *held != *update && digest(update) > digest(held)
}

// Tombstone returns the last record of a removed VM, and false if there is none.
func (m *Members) Tombstone(id string) (wire.Member, bool) {
	removed, ok := m.tombstones[id]
	return removed.record, ok
}

// Merge applies a record of a VM if it is newer than the one held. It returns the
// endpoint that the record removed, or nil, and whether the table changed. now is in
// nanoseconds; from is the link that the record was received over, or nil.
func (m *Members) Merge(now int64, from *link.Peer, update wire.Member) (removed *Endpoint, changed bool) {
	removed, changed = m.merge(now, update)
	if changed {
		m.pendingChanges = append(m.pendingChanges, MemberChange{Record: update, From: from})
	}
	return removed, changed
}

// TakeChanges returns the changes since its last call, to be passed on to peers.
func (m *Members) TakeChanges() []MemberChange {
	out := m.pendingChanges
	m.pendingChanges = nil
	return out
}

// merge is Merge without recording a pending change.
func (m *Members) merge(now int64, update wire.Member) (removed *Endpoint, changed bool) {
	row, known := m.byID[update.VM]
	if known && !supersededBy(&m.Record[row], &update) {
		return nil, false
	}
	if last, isRemoved := m.tombstones[update.VM]; !known && isRemoved && !supersededBy(&last.record, &update) {
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
	// The VM was started again or has moved, so it needs a new endpoint.
	removed = m.removeRow(update.VM)
	m.addRow(now, update)
	return removed, true
}

// sameEndpoint reports whether an endpoint made from record a is valid for record b.
func sameEndpoint(a, b *wire.Member) bool {
	return a.Started == b.Started && a.LinkAddress == b.LinkAddress && a.Service == b.Service && a.DataCentre == b.DataCentre && a.Region == b.Region
}

// replaceRecord replaces the record of a row that keeps its endpoint.
func (m *Members) replaceRecord(row int, record wire.Member) {
	m.toggleRecord(&m.Record[row])
	m.Record[row] = record
	m.Endpoint[row].SetVersion(record.Version)
	m.toggleRecord(&record)
}

// addRow adds a row for a VM that the table does not contain.
func (m *Members) addRow(now int64, record wire.Member) {
	row := m.allocateRow()
	m.Record[row] = record
	m.Listed[row] = false
	m.MissedReads[row] = 0
	m.AddedAt[row] = now
	m.Endpoint[row] = &Endpoint{
		VM: record.VM, Service: record.Service, DataCentre: record.DataCentre, Region: record.Region,
		LinkAddress: record.LinkAddress, CallerAddress: record.CallerAddress, Load: NewLoad(int(record.Slots)),
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

// allocateRow returns the number of a free row.
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

// removeRow removes a VM and returns its endpoint, or nil if the table does not contain
// it.
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

// addTombstone remembers a removed VM, and forgets those removed longer than
// tombstoneTTL ago.
func (m *Members) addTombstone(now int64, record wire.Member) {
	m.tombstones[record.VM] = tombstone{record: record, removedAt: now}
	for id, removed := range m.tombstones {
		if now-removed.removedAt > tombstoneTTL {
			delete(m.tombstones, id)
		}
	}
}

// toggleRecord adds a record to the digest of its bucket, or takes it out: both are the
// same exclusive or. It also counts the change.
func (m *Members) toggleRecord(record *wire.Member) {
	m.changeCount++
	m.serviceChangeCounts[record.Service]++
	m.digests[bucketOf(record.VM)] ^= digest(record)
}

// bucketOf returns the bucket of a VM.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// digest hashes a record.
func digest(record *wire.Member) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{
		record.VM, strconv.FormatUint(record.Started, 10), strconv.FormatUint(record.Incarnation, 10), strconv.Itoa(int(record.State)),
		record.DataCentre, record.Service, record.LinkAddress, record.CallerAddress, strconv.Itoa(int(record.Slots)),
		strconv.FormatUint(record.Revision, 10), strconv.Itoa(int(record.Backend)), record.Version,
	} {
		// Digest.WriteString never fails.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return uint32(d.Sum64())
}

// Digest returns a digest of the whole table. Tables with the same rows have the same
// digest.
func (m *Members) Digest() uint64 {
	out := uint64(0)
	for i, d := range m.digests {
		// A different factor for each bucket keeps equal digests of two buckets from
		// cancelling out.
		out ^= (uint64(d) + 1) * (2*uint64(i) + 0x9e3779b97f4a7c15)
	}
	return out
}

// BucketDigests returns the digest of each bucket.
func (m *Members) BucketDigests() []uint32 { return append([]uint32(nil), m.digests[:]...) }

// DifferingRows returns the records, those of removed VMs included, of the buckets whose
// digests differ from the peer's. It returns nil if the peer has another number of
// buckets.
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
