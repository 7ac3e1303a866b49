package admitter

import (
	"math"
	"time"

	"burdocklink/classifier"
)

// maxPriority is of classes that promise an answer within a second or
// less. Each doubling of the promised time takes one off, down to zero.
const maxPriority = 20

// priority orders classes on an engine by their urgency.
func priority(class classifier.Class) int {
	seconds := float64(class.Urgency()) / float64(time.Second)
	if seconds <= 1 {
		return maxPriority
	}
	return max(0, maxPriority-int(math.Log2(seconds)))
}
