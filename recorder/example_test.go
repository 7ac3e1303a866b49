package recorder_test

import (
	"fmt"
	"os"

	"burdocklink/recorder"
	"burdocklink/replicator"
)

// Synced entries are loaded when the folder is opened again.
func Example() {
	folder, err := os.MkdirTemp("", "recorder")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	disk, _, err := recorder.Open(recorder.Settings{Folder: folder})
	if err != nil {
		fmt.Println(err)
		return
	}
	entry := replicator.Entry{Index: 1, Term: 1, Payload: replicator.Opaque{Data: []byte("hello")}}
	_ = disk.Append(replicator.Write{Entries: []replicator.Entry{entry}})
	fmt.Println(disk.Sync(), disk.Close())

	_, loaded, err := recorder.Open(recorder.Settings{Folder: folder})
	fmt.Println(len(loaded.Entries), err)
	// Output:
	// <nil> <nil>
	// 1 <nil>
}
