package claimer

import (
	"container/heap"
	"time"
)

// entry is a record with its place in the schedule.
type entry struct {
	Record
	dueAt time.Time
	index int
}

// schedule is a heap of entries by the time they change by themselves.
type schedule []*entry

// Len is part of heap.Interface.
func (s schedule) Len() int { return len(s) }

// Less is part of heap.Interface.
func (s schedule) Less(i, j int) bool { return s[i].dueAt.Before(s[j].dueAt) }

// Swap is part of heap.Interface.
func (s schedule) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push is part of heap.Interface.
func (s *schedule) Push(added any) {
	e := added.(*entry)
	e.index = len(*s)
	*s = append(*s, e)
}

// Pop is part of heap.Interface.
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
