package main_test

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var measure = flag.Bool("measure", false, "measure what an entry instance spends, for docs/CAPACITY.md; takes some minutes")

// usage is the resource usage of a process since its start. As a result of
// measureUsage, cpu and bytes are per second.
type usage struct {
	cpu    float64 // seconds
	rssMiB float64 // MiB
	bytes  float64 // read and written, sockets included
}

// clockTick is the unit of processor time in /proc/PID/stat, in seconds.
const clockTick = 0.01

func readUsage(t *testing.T, pid int) (u usage) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, i := range []int{11, 12} {
		n, _ := strconv.ParseFloat(fields[i], 64)
		u.cpu += n * clockTick
	}
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.rssMiB = pages * float64(os.Getpagesize()) / (1 << 20)
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(io), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseFloat(value, 64)
			u.bytes += n
		}
	}
	return u
}

const measureSpan = 15 * time.Second

// measureUsage measures a process for measureSpan. It returns processor time and
// bytes per second, and the memory at the end.
func measureUsage(t *testing.T, pid int) usage {
	a := readUsage(t, pid)
	time.Sleep(measureSpan)
	b := readUsage(t, pid)
	return usage{cpu: (b.cpu - a.cpu) / measureSpan.Seconds(), rssMiB: b.rssMiB, bytes: (b.bytes - a.bytes) / measureSpan.Seconds()}
}

// TestMeasureUsageByWorkerCount measures the resource usage of a leader and a
// follower of a domain with 3 instances, for several numbers of workers with 9
// running replicas each. It checks no bounds; docs/CAPACITY.md has the figures.
func TestMeasureUsageByWorkerCount(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, n := range []int{60, 120, 240} {
		cell, platform := newCell(t)
		cell.start("standin", "worker", "-platform", platform, "-name", "w", "-domain", "d", "-count", fmt.Sprint(n))
		for k := 1; k <= 3; k++ {
			cell.startInstance(fmt.Sprintf("d-e%d", k), "d", platform)
		}
		cell.waitFor("a leader", func() bool { return cell.status("d-e1").Work.Leader != "" })
		config := fmt.Sprintf(`{"tenants":{"club":{"share":1}},"services":{"s":{"tenant":"club","domain":"d","class":"normal","replicas":%d,
			"size":{"cpu-milli":3500,"memory-mib":512,"accelerators":0},"command":"serve"}}}`, 9*n)
		code, body := cell.post("d-e1", "/v1/patches", fmt.Sprintf(`{"id":"p1","operator":"test","base":0,"change":%s}`, config))
		if code != 200 {
			t.Fatal(body)
		}
		cell.waitFor("all replicas run", func() bool { return cell.status("d-e1").Work.Running == 9*n })
		leader := cell.status("d-e1").Work.Leader
		for name, c := range cell.instances {
			role := "follower"
			if name == leader {
				role = "leader"
			}
			u := measureUsage(t, c.Process.Pid)
			t.Logf("workers %d, %s: %.2f %% of a core, %.1f MiB, %.1f KB/s", n, role, 100*u.cpu, u.rssMiB, u.bytes/1000)
			if role == "follower" {
				break
			}
		}
		u := measureUsage(t, cell.instances[leader].Process.Pid)
		t.Logf("workers %d, leader again: %.2f %% of a core, %.1f MiB, %.1f KB/s", n, 100*u.cpu, u.rssMiB, u.bytes/1000)
		for _, c := range cell.instances {
			_ = c.Process.Kill()
		}
	}
}

// TestMeasureUsageByRequestRate measures the response times through one
// instance and its resource usage at several request rates. For comparison it
// measures direct requests to the minions in the same run. It checks no bounds;
// docs/CAPACITY.md has the figures.
func TestMeasureUsageByRequestRate(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	cell, platform := newCell(t)
	var minions []string
	for k := range 8 {
		addr := freeAddr(t)
		minions = append(minions, addr)
		cell.start("standin", "minion", "-platform", platform, "-name", fmt.Sprint("m", k), "-domain", "d", "-listen", addr)
	}
	cell.startInstance("d-e1", "d", platform)
	cell.waitFor("all minions owned", func() bool { return cell.status("d-e1").ownedMinions() == 8 })
	if code, body := cell.post("d-e1", "/v1/patches", `{"id":"p1","operator":"test","base":0,"change":{"tenants":{"club":{"share":1}}}}`); code != 200 {
		t.Fatal(body)
	}
	pid := cell.instances["d-e1"].Process.Pid
	for _, rate := range []int{0, 200, 800, 1600} {
		a := readUsage(t, pid)
		through := cell.sendAtRate(rate, func(int) string { return "http://" + cell.addrs["d-e1"] + "/run/x" })
		b := readUsage(t, pid)
		direct := cell.sendAtRate(rate, func(n int) string { return "http://" + minions[n%8] + "/x" })
		t.Logf("rate %d/s: through p50 %.2f p99 %.2f ms, direct p50 %.2f p99 %.2f ms; %.1f %% of a core, %.1f MiB",
			rate, 1000*through[0], 1000*through[1], 1000*direct[0], 1000*direct[1], 100*(b.cpu-a.cpu)/10, b.rssMiB)
	}
}

// sendAtRate sends requests at a rate per second for 10 s, each of which takes a
// minion 2 ms, and returns the 50th and 99th percentile of the response times in
// seconds.
func (p *processCell) sendAtRate(rate int, url func(n int) string) [2]float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var times []float64
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; n < 10*rate; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(max(rate, 1)))))
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodPost, url(n), strings.NewReader("x"))
			if err != nil {
				return
			}
			for k, v := range map[string]string{"Tenant": "club", "Class": "quick", "Idempotent": "true"} {
				req.Header.Set("Tamaracklink-"+k, v)
			}
			req.Header.Set("Work-Ms", "2")
			sent := time.Now()
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(sent).Seconds())
		})
	}
	wg.Wait()
	if rate == 0 {
		time.Sleep(10 * time.Second)
		return [2]float64{}
	}
	return [2]float64{quantile(times, 0.5), quantile(times, 0.99)}
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[min(int(q*float64(len(v))), len(v)-1)]
}
