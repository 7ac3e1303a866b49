//go:build review

// Command standin plays the clients, servers and platform of a small deployment on loopback
// addresses, starts the project's programs as separate processes, and judges one case.
package main

import (
	"bufio"
	"encoding/json"
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
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// Bounds of the deployment, as in the page of cukorvirag-foglalo.
const (
	contactTime = 3 * time.Second
	listLag     = 800 * time.Millisecond
	reportLag   = 200 * time.Millisecond
)

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *bufio.Writer
	under *os.File
	begin time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannot("record: %v", err)
	}
	return &record{file: bufio.NewWriter(file), under: file, begin: time.Now()}
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.file.Flush()
	_ = r.under.Close()
}

// site is one deployment.
type site struct {
	*record
	root      string
	base      int
	net       int
	servers   *servers
	list      string
	processes map[string]*process
	mutex     sync.Mutex
	number    atomic.Int64
	fronts    []string
	// fail is the first reason why the case can't be judged.
	fail atomic.Pointer[string]
}

type process struct {
	name, role, path string
	command          *exec.Cmd
	done             chan struct{}
	// ended is set if it ended though nobody stopped it.
	ended   atomic.Bool
	stopped atomic.Bool
	status  string
}

var theSite *site

func cannot(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", values...)
	if theSite != nil {
		theSite.stopAll()
	}
	os.Exit(exitCannot)
}

const portsPerMachine = 20

func newSite(recordPath string) *site {
	root, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannot("temporary folder: %v", err)
	}
	s := &site{record: newRecord(recordPath), root: root, processes: map[string]*process{}}
	theSite = s
	s.net = 100 + rand.IntN(100)
	for range 50 {
		s.base = 12000 + rand.IntN(900)*portsPerMachine
		if s.portsFree() {
			break
		}
	}
	s.servers = newServers(s)
	s.list = s.listen(http.HandlerFunc(s.servers.serveList))
	return s
}

func (s *site) portsFree() bool {
	for offset := range portsPerMachine {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", s.net, s.base+offset))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (s *site) listen(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func (s *site) coreHost(i int) string  { return fmt.Sprintf("127.%d.0.%d", s.net, i+1) }
func (s *site) frontHost(i int) string { return fmt.Sprintf("127.%d.1.%d", s.net, i+1) }

func (s *site) address(host string, offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(s.base+offset))
}

// Offsets of the ports of a machine.
const (
	controlOffset = iota
	frontOffset
	readyOffset
	rangeOffset
)

var zones = []string{"bp-a", "bp-b", "bp-c"}

// start starts a program with the command of the deploy file.
func (s *site) start(role, name, host, zone string, first bool) *process {
	listen := map[string]string{"front": s.address(host, frontOffset), "ready": s.address(host, readyOffset)}
	class, serves, disk := "front", "front", 0
	limits := map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": disk}
	var folder any
	if role == "control" {
		listen = map[string]string{"control": s.address(host, controlOffset)}
		class, serves = "core", "control"
		limits["cpuShare"], limits["memoryMb"], limits["fileDescriptors"], limits["diskMb"] = 0.24, 280, 4096, 128
		path := filepath.Join(s.root, name)
		_ = os.MkdirAll(path, 0o700)
		folder = path
	}
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, s.address(s.coreHost(i), controlOffset))
	}
	text, _ := json.Marshal(map[string]any{
		"node": name, "role": role, "machineClass": class, "serves": []string{serves}, "ip": host, "zone": zone, "region": "budapest",
		"zones":  map[string]string{"bp-a": "budapest", "bp-b": "budapest", "bp-c": "budapest"},
		"listen": listen, "portRange": []int{s.base + rangeOffset, s.base + portsPerMachine - 1}, "seeds": seeds,
		"bootstrap": first, "lossCounts": role == "control", "limits": limits, "dataDir": folder, "discovery": "cloud", "entry": "vip",
		"heartbeatMs": 1200, "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000,
			"graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fencingEnforced": true,
			"leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1},
		"configMode": "highest", "cloud": map[string]any{"address": s.list, "ratePerS": 42.0, "duties": []string{}, "lagMs": 800},
	})
	path := filepath.Join(s.root, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		cannot("settings: %v", err)
	}
	p := &process{name: name, role: role, path: path}
	s.run(p)
	return p
}

func (s *site) run(p *process) {
	command := exec.Command("target/burdocklink-node", p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.root, "LANG=C", "BURDOCKLINK_CONFIG=" + p.path}
	log, err := os.OpenFile(filepath.Join(s.root, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("log: %v", err)
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannot("start of %s: %v (build it first)", p.name, err)
	}
	_ = log.Close()
	p.command, p.done = command, make(chan struct{})
	done := p.done
	s.mutex.Lock()
	s.processes[p.name] = p
	s.mutex.Unlock()
	s.add("process %s starts", p.name)
	go func() {
		err := command.Wait()
		if !p.stopped.Load() {
			p.status = fmt.Sprint(err)
			p.ended.Store(true)
			s.add("process %s ended by itself: %v", p.name, err)
		}
		close(done)
	}()
}

// kill kills a process and waits for its end.
func (s *site) kill(p *process) {
	p.stopped.Store(true)
	_ = p.command.Process.Kill()
	<-p.done
	s.add("process %s killed", p.name)
}

// restart starts a killed process again, with its disk.
func (s *site) restart(p *process) {
	text, _ := os.ReadFile(p.path)
	_ = os.WriteFile(p.path, []byte(strings.Replace(string(text), `"bootstrap":true`, `"bootstrap":false`, 1)), 0o600)
	p.stopped.Store(false)
	s.run(p)
}

func (s *site) stopAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.processes {
		p.stopped.Store(true)
		_ = p.command.Process.Kill()
		<-p.done
	}
	s.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.root)
	} else {
		fmt.Println("kept:", s.root)
	}
}

// startAll starts three control members and some entries, puts the configuration and waits
// until the entries are ready.
func (s *site) startAll(entries int, configuration string) {
	for i := range 3 {
		s.start("control", "core-"+zones[i]+"-1", s.coreHost(i), zones[i], true)
	}
	for i := range entries {
		s.start("entry", fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), s.frontHost(i), zones[i%3], true)
		s.fronts = append(s.fronts, s.address(s.frontHost(i), frontOffset))
	}
	if !within(20*time.Second, func() bool { return s.put(configuration) == http.StatusOK }) {
		cannot("no configuration was acknowledged")
	}
	s.add("configuration acknowledged")
	for i := range entries {
		if !within(20*time.Second, func() bool { return s.ready(i) }) {
			cannot("entry %d is not ready", i+1)
		}
	}
	s.add("all entries are ready")
}

func (s *site) ready(i int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.address(s.frontHost(i), readyOffset) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// put sends a configuration to the members in turn; 0 if none answered.
func (s *site) put(configuration string) int {
	client := http.Client{Timeout: time.Second}
	for i := range 3 {
		response, err := client.Post("http://"+s.address(s.coreHost(i), controlOffset)+"/api/Config.Put", "application/json", strings.NewReader(configuration))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode < 500 {
			return response.StatusCode
		}
	}
	return 0
}

func within(limit time.Duration, done func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if done() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// newID returns a request ID.
func (s *site) newID() string { return fmt.Sprintf("%08x%08x", s.net*100000+s.base, s.number.Add(1)) }

// checkProcesses makes the case impossible to judge if a process ended by itself.
func (s *site) checkProcesses() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.processes {
		if p.ended.Load() {
			fmt.Printf("process %s ended by itself: %s\n", p.name, p.status)
		}
	}
}
