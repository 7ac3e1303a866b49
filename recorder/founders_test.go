package recorder_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"burdocklink/recorder"
)

// A restart during the first start must not forget who may form the group, and an older or
// damaged folder must not learn it.
func TestFoundersBelongToTheFolderThatWasCreatedWithThem(t *testing.T) {
	founders := []recorder.Founder{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: "127.0.0.2:1"}}
	open := func(folder string, with []recorder.Founder) recorder.Loaded {
		opened, loaded, err := recorder.Open(recorder.Settings{Folder: folder, Founders: with})
		assert.NilError(t, err)
		assert.NilError(t, opened.Close())
		return loaded
	}
	created := t.TempDir()
	first := open(created, founders)
	assert.DeepEqual(t, first.Founders, founders)
	again := open(created, nil)
	assert.DeepEqual(t, again.Founders, founders)
	assert.Equal(t, again.Disk, first.Disk)

	older := t.TempDir()
	open(older, nil)
	assert.Equal(t, len(open(older, founders).Founders), 0)

	assert.NilError(t, recorder.SetAside(recorder.Settings{Folder: created}))
	assert.Equal(t, len(open(created, founders).Founders), 0)
}
