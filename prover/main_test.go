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

// binary is the path of the program that the tests start, nodeBinary of the one
// for the platform's VMs.
var binary, nodeBinary string

// TestMain builds the program once. With BURDOCKLINK_TEST_RACE set, its
// processes look for data races too.
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

// build builds a program or ends the tests.
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
