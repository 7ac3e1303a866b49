//go:build review2

// Command review2-stand-in plays the cases of the second review. It starts the programs of
// the deploy file as separate processes on loopback addresses, between stand-ins of clients,
// servers, the operator and the platform's list.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
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

// Ports, the same on all machines.
const (
	portFront   = 8149
	portReady   = 8141
	portControl = 8144
	portLink    = 7380
	portLinkMax = 7395
	portList    = 8142
	portServer  = 8080
)

// record writes the lines of record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// machine is one machine of the system.
type machine struct {
	name, class, ip string
	settings        string
	memoryMB        int
	process         *exec.Cmd
	log             *os.File
	// ended is closed once the process has ended.
	ended chan struct{}
}

// system is a small deployment: machines and the platform.
type system struct {
	*record
	network  string
	folder   string
	machines []*machine
	list     *platformList
	servers  []*server
	// bounds replace those of every machine.
	bounds map[string]any
	mutex  sync.Mutex
}

// entries returns the machines that take requests.
func (s *system) entries() []*machine { return s.ofClass("front") }

// controls returns the machines that serve the operator.
func (s *system) controls() []*machine { return s.ofClass("core") }

func (s *system) ofClass(class string) []*machine {
	var found []*machine
	for _, m := range s.machines {
		if m.class == class {
			found = append(found, m)
		}
	}
	return found
}

// newSystem reserves a part of 127.0.0.0/8 whose ports are free.
func newSystem(r *record, entries, controls int) (*system, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, folder: folder, bounds: map[string]any{}}
	for range 100 {
		s.network = fmt.Sprintf("127.%d.%d", 60+rand.IntN(100), 1+rand.IntN(250))
		if portsAreFree(s.network) {
			break
		}
	}
	for i := range controls {
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("core-%d", i+1), class: "core", ip: fmt.Sprintf("%s.%d", s.network, 10+i), memoryMB: 280})
	}
	for i := range entries {
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("front-%d", i+1), class: "front", ip: fmt.Sprintf("%s.%d", s.network, 30+i), memoryMB: 284})
	}
	return s, nil
}

func portsAreFree(network string) bool {
	for _, host := range []int{9, 10, 11, 12, 13, 14, 30, 31, 32, 33, 100, 101, 102, 103, 130, 220, 221} {
		for _, port := range []int{portFront, portReady, portControl, portLink, portLink + 1, portServer, portList} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// seeds returns the operator's addresses of the first three control machines.
func (s *system) seeds() []string {
	var seeds []string
	for _, m := range s.controls()[:min(3, len(s.controls()))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, portControl))
	}
	return seeds
}

// writeSettings writes the settings file of a machine, as DEPLOY.md tells.
func (s *system) writeSettings(m *machine, bootstrap bool) error {
	bounds := map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
		"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2,
		"budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fencingEnforced": true,
		"leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1,
	}
	for name, value := range s.bounds {
		bounds[name] = value
	}
	content := map[string]any{
		"node": m.name, "role": map[string]string{"front": "entry", "core": "control"}[m.class], "machineClass": m.class,
		"ip": m.ip, "zone": "bp-a", "region": "budapest", "zones": map[string]string{"bp-a": "budapest"},
		"portRange": []int{portLink, portLinkMax}, "seeds": s.seeds(), "bootstrap": bootstrap, "lossCounts": m.class == "core",
		"discovery": "cloud", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": bounds, "configMode": "highest",
		"cloud": map[string]any{"address": s.list.address, "ratePerS": 42.0, "duties": []string{}, "lagMs": 800},
	}
	limits := map[string]any{"cores": 1, "memoryMb": m.memoryMB, "linkMbps": 1000.0}
	if m.class == "front" {
		content["serves"] = []string{"front"}
		content["listen"] = map[string]string{"front": fmt.Sprintf("%s:%d", m.ip, portFront), "ready": fmt.Sprintf("%s:%d", m.ip, portReady)}
		content["dataDir"] = nil
		limits["cpuShare"], limits["fileDescriptors"], limits["diskMb"] = 0.4, 4100, 0
	} else {
		data := filepath.Join(s.folder, m.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		content["serves"] = []string{"control"}
		content["listen"] = map[string]string{"control": fmt.Sprintf("%s:%d", m.ip, portControl)}
		content["dataDir"] = data
		limits["cpuShare"], limits["fileDescriptors"], limits["diskMb"] = 0.24, 4096, 128
	}
	content["limits"] = limits
	text, err := json.Marshal(content)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(s.folder, m.name+".json")
	return os.WriteFile(m.settings, text, 0o600)
}

// startProcess starts the program of a machine with the command of the deploy file.
func (s *system) startProcess(m *machine, bootstrap bool) error {
	if err := s.writeSettings(m, bootstrap); err != nil {
		return err
	}
	role := map[string]string{"front": "entry", "core": "control"}[m.class]
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/burdocklink-node", role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKLINK_CONFIG=" + m.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.process, m.log, m.ended = command, log, make(chan struct{})
	ended := m.ended
	go func() {
		err := command.Wait()
		s.printf("%s: process %d ended: %v", m.name, command.Process.Pid, err)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// running reports whether the process of a machine runs.
func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (m *machine) signal(sent syscall.Signal) error { return m.process.Process.Signal(sent) }

// memory returns the resident memory and its peak, in units of 1,048,576 bytes.
func (m *machine) memory() (now, peak float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kilobytes / 1024
		case "VmHWM:":
			peak = kilobytes / 1024
		}
	}
	return now, peak
}

// start starts everything and waits until the first configuration is served.
func (s *system) start(configuration map[string]any) error {
	for _, m := range s.machines {
		if err := s.startProcess(m, true); err != nil {
			return err
		}
	}
	if err := s.put(configuration, 20*time.Second); err != nil {
		return err
	}
	for _, m := range s.entries() {
		if !s.awaitReady(m, 20*time.Second) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	return nil
}

// ready asks an entry at its ready address.
func (s *system) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *system) awaitReady(m *machine, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if s.ready(m) {
			return true
		}
	}
	return false
}

// put sends a configuration as the operator does, until it is acknowledged.
func (s *system) put(configuration map[string]any, within time.Duration) error {
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	controls := s.controls()
	client := http.Client{Timeout: time.Second}
	last := errors.New("not sent")
	at := rand.IntN(len(controls))
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		at++
		address := fmt.Sprintf("%s:%d", controls[at%len(controls)].ip, portControl)
		response, err := client.Post("http://"+address+"/api/Config.Put", "application/json", strings.NewReader(string(body)))
		if err != nil {
			last = err
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.printf("operator: version %v acknowledged", configuration["version"])
			return nil
		}
		last = fmt.Errorf("status %d", response.StatusCode)
		if response.StatusCode == http.StatusBadRequest {
			return last
		}
	}
	return last
}

// stop ends all processes that were started and removes their files.
func (s *system) stop() {
	for _, m := range s.machines {
		if m.running() {
			_ = m.signal(syscall.SIGCONT)
			_ = m.signal(syscall.SIGKILL)
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}
