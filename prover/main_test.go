package prover_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
)

// binary is the path of the built burdocklink program, nodeBinary that of
// burdocklink-node, which runs on the platform's VMs.
var binary, nodeBinary string

// TestMain builds both programs once, with the race detector if
// BURDOCKLINK_TEST_RACE is set.
func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	folder, err := os.MkdirTemp("", "burdocklink-prover-")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "burdocklink")
	nodeBinary = filepath.Join(folder, "burdocklink-node")
	build(binary, "burdocklink")
	build(nodeBinary, "burdocklink/burdocklink-node")
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build builds a program and exits if that fails.
func build(path, name string) {
	arguments := []string{"build", "-o", path}
	if os.Getenv("BURDOCKLINK_TEST_RACE") != "" {
		arguments = append(arguments, "-race")
	}
	if output, err := exec.Command("go", append(arguments, name)...).CombinedOutput(); err != nil {
		fmt.Println(string(output), err)
		os.Exit(1)
	}
}
