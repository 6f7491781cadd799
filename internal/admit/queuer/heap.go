package queuer

// heap is a binary heap whose elements know their index, so that any of them can be moved or removed.
type heap[T any] struct {
	items []T
	// before reports whether a comes before b.
	before func(a, b T) bool
	// setIndex records the index of an element.
	setIndex func(item T, index int)
}

// first returns the first element, if there is one.
func (h *heap[T]) first() (item T, found bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// remove removes the element at an index.
func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

// fix moves the element at an index whose order has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the element has moved.
func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return i > start
		}
		if right := child + 1; right < len(h.items) && h.before(h.items[right], h.items[child]) {
			child = right
		}
		if !h.before(h.items[child], h.items[i]) {
			return i > start
		}
		h.swap(i, child)
		i = child
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}
