package admitter

import "errors"

func errorAs[T error](err error, target *T) bool { return errors.As(err, target) }
