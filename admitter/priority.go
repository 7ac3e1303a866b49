package admitter

import (
	"math"
	"time"

	"burdocklink/classifier"
)

// maxPriority is the priority of classes with a target of one second or less. Each
// doubling of the target lowers the priority by one, down to zero.
const maxPriority = 20

// priority returns the engine priority of a class, by its urgency.
func priority(class classifier.Class) int {
	seconds := float64(class.Urgency()) / float64(time.Second)
	if seconds <= 1 {
		return maxPriority
	}
	return max(0, maxPriority-int(math.Log2(seconds)))
}
