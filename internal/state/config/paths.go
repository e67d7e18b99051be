package config

import "strings"

// Index holds for each path that a patch has changed the newest version that
// changed it, and for each of its ancestors the newest version that changed a
// path below. The time to find a conflict therefore grows only with the depth of
// a path. A path is a sequence of keys, each preceded by pathSeparator.
type Index struct {
	At    map[string]uint64 `json:"at"`    // newest version by changed path
	Below map[string]uint64 `json:"below"` // newest version of a change below, by ancestor path
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{At: map[string]uint64{}, Below: map[string]uint64{}} }

// Touch records that the version changed the path. Versions must not decrease
// from call to call.
func (x *Index) Touch(path string, version uint64) {
	x.At[path] = version
	for p := parentPath(path); p != ""; p = parentPath(p) {
		x.Below[p] = version
	}
}

// Newest returns the newest version that changed the path, an ancestor or a
// descendant of it, or 0 if the index holds none.
func (x *Index) Newest(path string) uint64 {
	v := max(x.At[path], x.Below[path])
	for p := parentPath(path); p != ""; p = parentPath(p) {
		v = max(v, x.At[p])
	}
	return v
}

// Forget removes the path, and each of its ancestors, whose newest change is the
// given version.
func (x *Index) Forget(path string, version uint64) {
	if x.At[path] == version {
		delete(x.At, path)
	}
	for p := parentPath(path); p != ""; p = parentPath(p) {
		if x.Below[p] == version {
			delete(x.Below, p)
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

// ShowPath returns the path in dotted form, for people.
func ShowPath(path string) string {
	return strings.ReplaceAll(strings.TrimPrefix(path, pathSeparator), pathSeparator, ".")
}

// Touched returns the paths that a decoded merge patch changes, sorted by key at
// each level. An empty object counts as a change of its own path.
func Touched(change map[string]any) []string {
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

// Reverse returns the merge patch that reverts change, given the document old
// before the change.
func Reverse(old, change map[string]any) map[string]any {
	inverse := map[string]any{}
	for k, v := range change {
		oldValue, existed := old[k]
		inner, isObject := v.(map[string]any)
		oldObject, wasObject := oldValue.(map[string]any)
		switch {
		case !existed:
			inverse[k] = nil
		case isObject && wasObject:
			inverse[k] = Reverse(oldObject, inner)
		default:
			inverse[k] = oldValue
		}
	}
	return inverse
}
