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
func (ro *Endpoint) Version() string {
	if v := ro.version.Load(); v != nil {
		return *v
	}
	return ""
}

// SetVersion notes the version that the backend server has said.
func (ro *Endpoint) SetVersion(version string) { ro.version.Store(&version) }

// SetRunner says who runs calls of this route; nil when there is no link.
func (ro *Endpoint) SetRunner(r call.Runner) {
	if r == nil {
		ro.runner.Store(nil)
		return
	}
	ro.runner.Store(&r)
}

// Runner returns who runs calls of this route, or nil.
func (ro *Endpoint) Runner() call.Runner {
	if r := ro.runner.Load(); r != nil {
		return *r
	}
	return nil
}

// buckets divide the members for comparing two tables: a difference costs the
// rows of its bucket, not the table.
const buckets = 256

// tombstoneFor is how long a VM that is gone is remembered, so that a peer
// with old news does not bring it back. In nanoseconds.
const tombstoneFor = 15 * 60 * 1e9

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
	free      []int
	byID      map[string]int
	byService map[string]map[int]struct{}
	// serviceChanges grows with each change of a service's rows.
	serviceChanges map[string]uint64
	// inDataCentre counts the rows of each data centre.
	inDataCentre map[string]int
	// inRegion counts the rows of each region that is known.
	inRegion map[string]int
	gone     map[string]tombstone
	digests  [buckets]uint32
	changes  uint64
	// fresh are rows that changed and were not passed on yet.
	fresh []MemberChange
}

// MemberChange is a row that changed here, and the link that it came over; nil when
// this daemon learnt it in another way.
type MemberChange struct {
	Record wire.Member
	From   *link.Peer
}

// tombstone remembers a VM that is gone.
type tombstone struct {
	row wire.Member
	at  int64
}

// NewMembers makes an empty table.
func NewMembers() *Members {
	return &Members{
		byID: map[string]int{}, byService: map[string]map[int]struct{}{},
		serviceChanges: map[string]uint64{}, inDataCentre: map[string]int{}, inRegion: map[string]int{}, gone: map[string]tombstone{},
	}
}

// Len counts the rows in use.
func (me *Members) Len() int { return len(me.byID) }

// ChangeCount grows with each change of the table, so that a system can see
// cheaply that there was none.
func (me *Members) ChangeCount() uint64 { return me.changes }

// ServiceChangeCount grows with each change of a row of a service.
func (me *Members) ServiceChangeCount(name string) uint64 { return me.serviceChanges[name] }

// CountInDataCentre counts the members of a data centre.
func (me *Members) CountInDataCentre(name string) int { return me.inDataCentre[name] }

// RegionCount counts the regions that members stand in; one that is not known is one.
func (me *Members) RegionCount() int { return len(me.inRegion) }

// VMsByService counts the VMs beside each service.
func (me *Members) VMsByService() map[string]int {
	out := make(map[string]int, len(me.byService))
	for service, rows := range me.byService {
		if len(rows) > 0 {
			out[service] = len(rows)
		}
	}
	return out
}

// Find returns the row number of a VM; ok is false when it is not known.
func (me *Members) Find(id string) (row int, ok bool) {
	row, ok = me.byID[id]
	return row, ok
}

// Leaving is true for a member that takes no new calls.
func (me *Members) Leaving(row int) bool { return me.Record[row].State == wire.MemberLeaving }

// EachRow calls do for each row in use, in no particular order.
func (me *Members) EachRow(do func(row int)) {
	for row, used := range me.inUse {
		if used {
			do(row)
		}
	}
}

// EachRowOfService calls do for each member of a service.
func (me *Members) EachRowOfService(name string, do func(row int)) {
	for row := range me.byService[name] {
		do(row)
	}
}

// newer is true when what b says of a VM goes before what a says.
func newer(a, b *wire.Member) bool {
	switch {
	case a.Started != b.Started:
		return b.Started > a.Started
	case a.Incarnation != b.Incarnation:
		return b.Incarnation > a.Incarnation
	case a.State != b.State:
		return b.State > a.State
	case a.Revision != b.Revision:
		return b.Revision > a.Revision
	}
	// Two lists that differ in addresses only: any rule will do that all
	// daemons share.
	return *a != *b && digest(b) > digest(a)
}

// Tombstone returns what is remembered of a VM that is gone.
func (me *Members) Tombstone(id string) (wire.Member, bool) {
	stone, ok := me.gone[id]
	return stone.row, ok
}

// Merge takes what somebody says of a VM over, when it is newer than what is
// known. It returns the route that this ended, if any, and whether anything
// changed. now is in nanoseconds; from is the link that it came over, or nil.
func (me *Members) Merge(now int64, from *link.Peer, said wire.Member) (ended *Endpoint, changed bool) {
	ended, changed = me.merge(now, said)
	if changed {
		me.fresh = append(me.fresh, MemberChange{Record: said, From: from})
	}
	return ended, changed
}

// TakeChanges returns the rows to pass on, and forgets them.
func (me *Members) TakeChanges() []MemberChange {
	out := me.fresh
	me.fresh = nil
	return out
}

func (me *Members) merge(now int64, said wire.Member) (ended *Endpoint, changed bool) {
	row, known := me.byID[said.VM]
	if known && !newer(&me.Record[row], &said) {
		return nil, false
	}
	if stone, dead := me.gone[said.VM]; !known && dead && !newer(&stone.row, &said) {
		return nil, false
	}
	if said.State == wire.MemberGone {
		me.bury(now, said)
		return me.remove(said.VM), known
	}
	if known && samePlace(&me.Record[row], &said) {
		me.put(row, said)
		return nil, true
	}
	// The name stands for another process now.
	ended = me.remove(said.VM)
	me.add(now, said)
	return ended, true
}

func samePlace(a, b *wire.Member) bool {
	return a.Started == b.Started && a.Links == b.Links && a.Service == b.Service && a.DataCentre == b.DataCentre && a.Region == b.Region
}

func (me *Members) put(row int, said wire.Member) {
	me.count(&me.Record[row])
	me.Record[row] = said
	me.Endpoint[row].SetVersion(said.Version)
	me.count(&said)
}

func (me *Members) add(now int64, said wire.Member) {
	row := me.newRow()
	me.Record[row] = said
	me.Listed[row] = false
	me.MissedReads[row] = 0
	me.AddedAt[row] = now
	me.Endpoint[row] = &Endpoint{
		VM: said.VM, Service: said.Service, DataCentre: said.DataCentre, Region: said.Region,
		LinkAddress: said.Links, CallerAddress: said.Callers, Load: NewLoad(int(said.Slots)),
	}
	me.Endpoint[row].SetVersion(said.Version)
	me.inUse[row] = true
	me.byID[said.VM] = row
	delete(me.gone, said.VM)
	if me.byService[said.Service] == nil {
		me.byService[said.Service] = map[int]struct{}{}
	}
	me.byService[said.Service][row] = struct{}{}
	me.inDataCentre[said.DataCentre]++
	me.inRegion[said.Region]++
	me.count(&said)
}

func (me *Members) newRow() int {
	if n := len(me.free); n > 0 {
		row := me.free[n-1]
		me.free = me.free[:n-1]
		return row
	}
	me.Record = append(me.Record, wire.Member{})
	me.Endpoint = append(me.Endpoint, nil)
	me.MissedReads = append(me.MissedReads, 0)
	me.Listed = append(me.Listed, false)
	me.AddedAt = append(me.AddedAt, 0)
	me.inUse = append(me.inUse, false)
	return len(me.Record) - 1
}

func (me *Members) remove(id string) *Endpoint {
	row, ok := me.byID[id]
	if !ok {
		return nil
	}
	me.count(&me.Record[row])
	route := me.Endpoint[row]
	delete(me.byID, id)
	delete(me.byService[route.Service], row)
	me.inDataCentre[route.DataCentre]--
	if me.inRegion[route.Region]--; me.inRegion[route.Region] == 0 {
		delete(me.inRegion, route.Region)
	}
	me.inUse[row] = false
	me.Endpoint[row] = nil
	me.free = append(me.free, row)
	return route
}

// bury remembers that a VM is gone, and forgets those buried long ago.
func (me *Members) bury(now int64, said wire.Member) {
	me.gone[said.VM] = tombstone{row: said, at: now}
	for id, stone := range me.gone {
		if now-stone.at > tombstoneFor {
			delete(me.gone, id)
		}
	}
}

// count adds a row to the digests, or takes it out again: both are the same
// exclusive or.
func (me *Members) count(m *wire.Member) {
	me.changes++
	me.serviceChanges[m.Service]++
	me.digests[bucketOf(m.VM)] ^= digest(m)
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % buckets) }

func digest(m *wire.Member) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{
		m.VM, strconv.FormatUint(m.Started, 10), strconv.FormatUint(m.Incarnation, 10), strconv.Itoa(int(m.State)),
		m.DataCentre, m.Service, m.Links, m.Callers, strconv.Itoa(int(m.Slots)),
		strconv.FormatUint(m.Revision, 10), strconv.Itoa(int(m.Backend)), m.Version,
	} {
		// Writing to a digest has no error to give.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return uint32(d.Sum64())
}

// Digest is one number for the whole table; two tables with the same rows have
// the same.
func (me *Members) Digest() uint64 {
	out := uint64(0)
	for i, d := range me.digests {
		// A different factor for each bucket, so that equal digests in two
		// buckets do not cancel out.
		out ^= (uint64(d) + 1) * (2*uint64(i) + 0x9e3779b97f4a7c15)
	}
	return out
}

// BucketDigests returns the digest of each bucket.
func (me *Members) BucketDigests() []uint32 { return append([]uint32(nil), me.digests[:]...) }

// DifferingRows returns the rows, those of VMs that are gone too, of the buckets
// in which a peer's digests differ from this table's.
func (me *Members) DifferingRows(theirs []uint32) []wire.Member {
	if len(theirs) != buckets {
		return nil
	}
	differs := func(id string) bool { b := bucketOf(id); return theirs[b] != me.digests[b] }
	var out []wire.Member
	me.EachRow(func(row int) {
		if differs(me.Record[row].VM) {
			out = append(out, me.Record[row])
		}
	})
	for id, stone := range me.gone {
		if differs(id) {
			out = append(out, stone.row)
		}
	}
	return out
}
