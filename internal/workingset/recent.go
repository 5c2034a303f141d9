package workingset

// recent is a map of bounded size that drops what was put longest ago. It consists of two
// generations: when the younger one holds half of the entries, the older one is dropped.
type recent[K comparable, V any] struct {
	most           int // entries; 2 or more
	younger, older map[K]V
}

func newRecent[K comparable, V any](most int) *recent[K, V] {
	return &recent[K, V]{most: most, younger: make(map[K]V), older: make(map[K]V)}
}

func (r *recent[K, V]) put(key K, value V) {
	if _, ok := r.younger[key]; !ok && len(r.younger) >= r.most/2 {
		r.younger, r.older = r.older, r.younger
		clear(r.younger)
	}
	r.younger[key] = value
}

func (r *recent[K, V]) get(key K) (V, bool) {
	if v, ok := r.younger[key]; ok {
		return v, true
	}
	v, ok := r.older[key]
	return v, ok
}
