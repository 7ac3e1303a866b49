package verifier_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/verifier"
)

func ExampleIndex_Find() {
	index := verifier.New[string]()
	index.Add(verifier.Sum("secret"), "cukorvirag")
	owner, found := index.Find("secret")
	fmt.Println(owner, found)
	_, found = index.Find("other")
	fmt.Println(found)
	// Output:
	// cukorvirag true
	// false
}

// Guards against a key that changes its owner when another organisation lists it too.
func TestAddKeepsTheFirstOwner(t *testing.T) {
	index := verifier.New[string]()
	_, added := index.Add(verifier.Sum("k"), "a")
	assert.Assert(t, added)
	owner, added := index.Add(verifier.Sum("k"), "b")
	assert.Assert(t, !added)
	assert.Equal(t, owner, "a")
	owner, _ = index.Find("k")
	assert.Equal(t, owner, "a")
}

func BenchmarkFind(b *testing.B) {
	index := verifier.New[int]()
	for i := range 10000 {
		index.Add(verifier.Sum(fmt.Sprint(i)), i)
	}
	for b.Loop() {
		index.Find("5000")
	}
}
