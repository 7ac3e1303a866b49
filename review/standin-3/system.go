//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Loopback addresses of the machines; the last byte numbers them.
const (
	entryNet   = "127.0.31."
	controlNet = "127.0.32."
	serverNet  = "127.0.33."
	cloudIP    = "127.0.34.1"
)

// Bounds of the small deployment, as in its settings.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	memoryMb        = 284
)

// system is a small deployment.
type system struct {
	*record
	folder   string
	port     int
	entries  []*node
	controls []*node
	servers  []*server
	mutex    sync.Mutex
	closers  []io.Closer
	// oddItem is the first entry of the platform's list, as it is written; empty for none.
	oddItem string
}

// node is a process of the project.
type node struct {
	name, role, ip, settings, output string
	command                          *exec.Cmd
	ended                            chan struct{}
	state                            *os.ProcessState
}

func newSystem(r *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, folder: folder}
	for range 50 {
		s.port = 20000 + rand.IntN(20000)
		if s.portsFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free ports")
}

// portsFree reports whether the ports of all machines can be used. s.port is that of the
// callers, the next ones are for readiness, operators and links.
func (s *system) portsFree() bool {
	for _, ip := range []string{entryNet + "1", entryNet + "2", controlNet + "1", controlNet + "2", controlNet + "3", serverNet + "1", cloudIP} {
		for offset := range 12 {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(s.port+offset)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *system) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.port+offset))
}

// start starts the platform's list, three control members and some entries, and waits until
// they serve.
func (s *system) start(entries int, configuration map[string]any) error {
	if err := s.startCloud(); err != nil {
		return err
	}
	for i := range 3 {
		s.controls = append(s.controls, s.newNode("control", controlNet, i+1))
	}
	for i := range entries {
		s.entries = append(s.entries, s.newNode("entry", entryNet, i+1))
	}
	for _, n := range append(append([]*node{}, s.controls...), s.entries...) {
		if err := s.launch(n, true); err != nil {
			return err
		}
	}
	if err := s.put(configuration); err != nil {
		return err
	}
	return s.awaitReady()
}

func (s *system) newNode(role, network string, number int) *node {
	name := fmt.Sprintf("%s-%d", role, number)
	return &node{name: name, role: role, ip: network + strconv.Itoa(number),
		settings: filepath.Join(s.folder, name+".json"), output: filepath.Join(s.folder, name+".log")}
}

// launch writes the settings of a process and starts it.
func (s *system) launch(n *node, bootstrap bool) error {
	listen := map[string]string{"control": s.address(n.ip, 2)}
	class, dataDir, cpu, memory := "core", any(filepath.Join(s.folder, n.name)), 0.24, 280
	if n.role == "entry" {
		listen = map[string]string{"front": s.address(n.ip, 0), "ready": s.address(n.ip, 1)}
		class, dataDir, cpu, memory = "front", nil, 0.4, memoryMb
	} else if err := os.MkdirAll(dataDir.(string), 0o755); err != nil {
		return err
	}
	settings, err := json.Marshal(map[string]any{
		"node": n.name, "role": n.role, "machineClass": class, "serves": []string{"front"}, "ip": n.ip,
		"zone": "zone-a", "region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"listen": listen, "portRange": []int{s.port + 3, s.port + 11},
		"seeds":     []string{s.address(controlNet+"1", 2), s.address(controlNet+"2", 2), s.address(controlNet+"3", 2)},
		"bootstrap": bootstrap, "lossCounts": n.role == "control",
		"limits":  map[string]any{"cpuShare": cpu, "cores": 1, "memoryMb": memory, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 128},
		"dataDir": dataDir, "discovery": "cloud", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
			"drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
			"maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12,
			"passMs": 120, "retryAfterS": 0, "fencingEnforced": true, "leaseMs": 3000, "thawSlackMs": 300,
			"ceilingWindowS": 5, "ceilingOverage": 1.1},
		"configMode": "highest",
		"cloud":      map[string]any{"address": s.address(cloudIP, 0), "ratePerS": 42.0, "duties": []string{}, "lagMs": 800},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, settings, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(n.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command("target/burdocklink-node", n.role)
	n.command.Env = append(os.Environ(), "BURDOCKLINK_CONFIG="+n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		n.state = command.ProcessState
		close(ended)
	}(n.command, n.ended)
	return nil
}

// running reports whether the process of a node runs.
func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// kill ends a process that the case started.
func (n *node) kill() {
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.ended
}

// memory returns the resident memory of a process and its peak, in bytes.
func (n *node) memory() (now, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = kb << 10
		case "VmHWM:":
			peak = kb << 10
		}
	}
	return now, peak
}

// grep returns the lines of a node's output that contain a text.
func (n *node) grep(text string) []string {
	data, _ := os.ReadFile(n.output)
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

func (s *system) startCloud() error {
	return s.serve(s.address(cloudIP, 0), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		var items []string
		if s.oddItem != "" {
			items = append(items, s.oddItem)
		}
		for _, each := range s.servers {
			item, _ := json.Marshal(each.item())
			items = append(items, string(item))
		}
		s.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(items, ","))
	}))
}

func (s *system) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	s.closers = append(s.closers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// put sends a configuration, as the operator does, until it is acknowledged.
func (s *system) put(configuration map[string]any) error {
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for at := range 100 {
		n := s.controls[at%len(s.controls)]
		response, err := client.Post("http://"+s.address(n.ip, 2)+"/api/Config.Put", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.add("operator: version %v acknowledged", configuration["version"])
				return nil
			}
			if response.StatusCode >= 400 && response.StatusCode < 500 {
				return fmt.Errorf("configuration refused with %d", response.StatusCode)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("configuration never acknowledged")
}

// awaitReady waits until all entries say that they are ready.
func (s *system) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 150 {
		ready := 0
		for _, n := range s.entries {
			if response, err := client.Get("http://" + s.address(n.ip, 1) + "/api/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) {
			s.add("all entries are ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entries don't become ready")
}

// leader returns the control member that answers operators itself.
func (s *system) leader() *node {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for range 50 {
		for _, n := range s.controls {
			response, err := client.Get("http://" + s.address(n.ip, 2) + "/api/Config.Get")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// close ends all processes that the case started and removes their files.
func (s *system) close() {
	for _, n := range append(append([]*node{}, s.entries...), s.controls...) {
		if n.command != nil && n.running() {
			n.kill()
		}
	}
	for _, each := range s.closers {
		_ = each.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println(s.folder)
	}
}
