package placer

import "flag"

// Fixed seeds make runs reproducible; -rapid.seed overrides them.
func init() {
	if err := flag.Set("rapid.seed", "20300501"); err != nil {
		panic(err)
	}
}
