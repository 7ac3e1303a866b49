package conductor_test

import (
	"context"
	"fmt"
	"time"

	"burdocklink/applier"
	"burdocklink/conductor"
)

// A member without a folder and peers forms a group on its own, in memory.
func Example() {
	member, err := conductor.New(conductor.Config{Name: "a", Codec: encoderCodec()})
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = member.Start(context.Background(), nil)
	applied, err := member.Propose(context.Background(), applier.Noop{})
	fmt.Printf("%T %v\n", applied.Result, err)
	_ = member.Stop(time.Now().Add(time.Second))
	// Output: applier.Nothing <nil>
}
