package teams

// Directory finds the team that holds a key. It is immutable.
type Directory struct {
	teams  []Team
	byKey  map[KeyDigest]uint32
	byName map[string]uint32
}

// NewDirectory returns a directory of teams. If two teams have the same key, the later
// one holds it.
func NewDirectory(teams []Team) *Directory {
	keys := 0
	for i := range teams {
		keys += len(teams[i].Keys)
	}
	directory := &Directory{teams: teams, byKey: make(map[KeyDigest]uint32, keys), byName: make(map[string]uint32, len(teams))}
	for i := range teams {
		directory.byName[teams[i].Name] = uint32(i)
		for _, key := range teams[i].Keys {
			directory.byKey[key] = uint32(i)
		}
	}
	return directory
}

// Len returns the number of teams. If it is 0, requests need no key.
func (d *Directory) Len() int { return len(d.teams) }

// KeyCount returns the number of different keys.
func (d *Directory) KeyCount() int { return len(d.byKey) }

// Holder returns the team that holds a key, or nil.
func (d *Directory) Holder(key KeyDigest) *Team {
	if index, ok := d.byKey[key]; ok {
		return &d.teams[index]
	}
	return nil
}

// LimitOf returns the limit of a team; ok is false if there is no team of this name.
func (d *Directory) LimitOf(name string) (limit Limit, ok bool) {
	index, ok := d.byName[name]
	if !ok {
		return Limit{}, false
	}
	return d.teams[index].Limit, true
}

// All returns the teams in the order in which operators gave them. The caller must not
// change them.
func (d *Directory) All() []Team { return d.teams }
