package poison

import (
	"container/list"
	"strings"
	"time"
)

// answerTimes holds when parts without evidence were answered last, of the parts that were answered most recently. Callers choose the parts, so every
// operation but expire takes constant time, and the parts hold no memory of their requests. It is not safe for concurrent use.
//
// Invariant: it holds at most limit parts, and one that is removed to make room was recorded before all others.
type answerTimes struct {
	limit int
	// order holds *answerTime, the part that was recorded last first.
	order    *list.List
	elements map[Part]*list.Element
}

// answerTime is when a part was answered.
type answerTime struct {
	part Part
	at   time.Time
}

// newAnswerTimes returns a table of at most limit parts.
func newAnswerTimes(limit int) *answerTimes {
	return &answerTimes{limit: limit, order: list.New(), elements: map[Part]*list.Element{}}
}

// len returns the number of parts.
func (a *answerTimes) len() int { return len(a.elements) }

// of returns when a part was answered last; zero if it is not known.
func (a *answerTimes) of(part Part) time.Time {
	if element, found := a.elements[part]; found {
		return element.Value.(*answerTime).at
	}
	return time.Time{}
}

// record records an answer, unless a later one is known.
func (a *answerTimes) record(part Part, at time.Time) {
	if element, found := a.elements[part]; found {
		known := element.Value.(*answerTime)
		if at.After(known.at) {
			known.at = at
			a.order.MoveToFront(element)
		}
		return
	}
	if a.order.Len() >= a.limit {
		a.remove(a.order.Back())
	}
	// The id may be a piece of a whole header.
	part.ID = strings.Clone(part.ID)
	a.elements[part] = a.order.PushFront(&answerTime{part, at})
}

// forget removes a part.
func (a *answerTimes) forget(part Part) {
	if element, found := a.elements[part]; found {
		a.remove(element)
	}
}

// expire removes the parts that were answered before a time.
func (a *answerTimes) expire(before time.Time) {
	for element := a.order.Back(); element != nil; {
		current := element
		element = element.Prev()
		if current.Value.(*answerTime).at.Before(before) {
			a.remove(current)
		}
	}
}

// remove removes an element.
func (a *answerTimes) remove(element *list.Element) {
	delete(a.elements, a.order.Remove(element).(*answerTime).part)
}
