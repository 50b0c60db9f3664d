package teams

// Directory finds the team of a key. It never changes.
type Directory struct {
	teams  []Team
	byKey  map[KeyDigest]uint32
	byName map[string]uint32
}

// NewDirectory makes the directory of some teams. Where two teams name one key, the
// later one holds it.
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

// Len counts the teams; with none, requests need no key.
func (d *Directory) Len() int { return len(d.teams) }

// Keys counts the keys.
func (d *Directory) Keys() int { return len(d.byKey) }

// Holder returns the team that holds a key, or nil.
func (d *Directory) Holder(key KeyDigest) *Team {
	if index, ok := d.byKey[key]; ok {
		return &d.teams[index]
	}
	return nil
}

// LimitOf returns the limit of a team; ok is false where there is none of that name.
func (d *Directory) LimitOf(name string) (limit Limit, ok bool) {
	index, ok := d.byName[name]
	if !ok {
		return Limit{}, false
	}
	return d.teams[index].Limit, true
}

// All returns the teams in the operators' order; they are not to be changed.
func (d *Directory) All() []Team { return d.teams }
