package claimer

import (
	"container/heap"
	"time"
)

// entry is a record with its index in the schedule.
type entry struct {
	Record
	dueAt time.Time
	index int
}

// schedule is a heap of entries, ordered by their next transition.
type schedule []*entry

// Len implements heap.Interface.
func (s schedule) Len() int { return len(s) }

// Less implements heap.Interface.
func (s schedule) Less(i, j int) bool { return s[i].dueAt.Before(s[j].dueAt) }

// Swap implements heap.Interface.
func (s schedule) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push implements heap.Interface.
func (s *schedule) Push(added any) {
	e := added.(*entry)
	e.index = len(*s)
	*s = append(*s, e)
}

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return e
}

func (s *schedule) add(e *entry) {
	e.dueAt = e.nextTransition()
	heap.Push(s, e)
}

func (s *schedule) update(e *entry) {
	e.dueAt = e.nextTransition()
	heap.Fix(s, e.index)
}

func (s *schedule) remove(e *entry) { heap.Remove(s, e.index) }
