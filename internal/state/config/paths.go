package config

import "strings"

// Index holds for each path that a patch has changed the newest version that
// changed it, and for each of its ancestors the newest version that changed a
// path below. The time to find a conflict therefore grows only with the depth of
// a path. A path is a sequence of keys, each preceded by pathSeparator.
type Index struct {
	Changed      map[string]uint64 `json:"at"`    // newest version by changed path
	ChangedBelow map[string]uint64 `json:"below"` // newest version of a change below, by ancestor path
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{Changed: map[string]uint64{}, ChangedBelow: map[string]uint64{}}
}

// Add records that the version changed the path. Versions must not decrease
// from call to call.
func (x *Index) Add(path string, version uint64) {
	x.Changed[path] = version
	for p := parentPath(path); p != ""; p = parentPath(p) {
		x.ChangedBelow[p] = version
	}
}

// Newest returns the newest version that changed the path, an ancestor or a
// descendant of it, or 0 if the index holds none.
func (x *Index) Newest(path string) uint64 {
	v := max(x.Changed[path], x.ChangedBelow[path])
	for p := parentPath(path); p != ""; p = parentPath(p) {
		v = max(v, x.Changed[p])
	}
	return v
}

// Remove removes the path, and each of its ancestors, whose newest change is the
// given version.
func (x *Index) Remove(path string, version uint64) {
	if x.Changed[path] == version {
		delete(x.Changed, path)
	}
	for p := parentPath(path); p != ""; p = parentPath(p) {
		if x.ChangedBelow[p] == version {
			delete(x.ChangedBelow, p)
		}
	}
}

// pathSeparator precedes each key of a path. JSON does not allow it unescaped in a
// key; one that was escaped is replaced by a space.
const pathSeparator = "\x1f"

func parentPath(path string) string {
	i := strings.LastIndex(path, pathSeparator)
	if i < 0 {
		return ""
	}
	return path[:i]
}

// FormatPath returns the path in dotted form, for people.
func FormatPath(path string) string {
	return strings.ReplaceAll(strings.TrimPrefix(path, pathSeparator), pathSeparator, ".")
}

// ChangedPaths returns the paths that a decoded merge patch changes, sorted by key
// at each level. An empty object counts as a change of its own path.
func ChangedPaths(change map[string]any) []string {
	return appendChangedPaths(nil, "", change)
}

func appendChangedPaths(paths []string, prefix string, change map[string]any) []string {
	keys := sortedKeys(len(change), func(add func(string)) {
		for k := range change {
			add(k)
		}
	})
	for _, k := range keys {
		path := prefix + pathSeparator + strings.ReplaceAll(k, pathSeparator, " ")
		inner, ok := change[k].(map[string]any)
		if ok && len(inner) > 0 {
			paths = appendChangedPaths(paths, path, inner)
			continue
		}
		paths = append(paths, path)
	}
	return paths
}

// Inverse returns the merge patch that reverts change, given the document old
// before the change.
func Inverse(old, change map[string]any) map[string]any {
	inverse := map[string]any{}
	for k, v := range change {
		oldValue, existed := old[k]
		inner, isObject := v.(map[string]any)
		oldObject, wasObject := oldValue.(map[string]any)
		switch {
		case !existed:
			inverse[k] = nil
		case isObject && wasObject:
			inverse[k] = Inverse(oldObject, inner)
		default:
			inverse[k] = oldValue
		}
	}
	return inverse
}
