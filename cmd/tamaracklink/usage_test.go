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

// usage is what a process has spent.
type usage struct {
	cpu   float64 // seconds
	rss   float64 // MiB
	bytes float64 // read and written, sockets included
}

// clockTick is the unit of processor time in /proc, in seconds.
const clockTick = 0.01

func usageOf(t *testing.T, pid int) (u usage) {
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
	u.rss = pages * float64(os.Getpagesize()) / (1 << 20)
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

const span = 15 * time.Second

// spent measures a process for the span.
func spent(t *testing.T, pid int) usage {
	a := usageOf(t, pid)
	time.Sleep(span)
	b := usageOf(t, pid)
	return usage{cpu: (b.cpu - a.cpu) / span.Seconds(), rss: b.rss, bytes: (b.bytes - a.bytes) / span.Seconds()}
}

// TestSlopeWorkers measures a leader and a follower of one domain with 3
// instances for several numbers of workers, each with 9 running replicas.
func TestSlopeWorkers(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, n := range []int{60, 120, 240} {
		f, platform := newFleet(t)
		f.run("standin", "worker", "-platform", platform, "-name", "w", "-domain", "d", "-count", fmt.Sprint(n))
		for k := 1; k <= 3; k++ {
			f.startEntry(fmt.Sprintf("d-e%d", k), "d", platform)
		}
		f.until("a leader", func() bool { return f.status("d-e1").Work.Leader != "" })
		config := fmt.Sprintf(`{"tenants":{"club":{"share":1}},"services":{"s":{"tenant":"club","domain":"d","class":"normal","replicas":%d,
			"size":{"cpu-milli":3500,"memory-mib":512,"accelerators":0},"command":"serve"}}}`, 9*n)
		code, body := f.post("d-e1", "/v1/patches", fmt.Sprintf(`{"id":"p1","operator":"test","base":0,"change":%s}`, config))
		if code != 200 {
			t.Fatal(body)
		}
		f.until("all replicas run", func() bool { return f.status("d-e1").Work.Running == 9*n })
		leader := f.status("d-e1").Work.Leader
		for name, c := range f.entries {
			role := "follower"
			if name == leader {
				role = "leader"
			}
			u := spent(t, c.Process.Pid)
			t.Logf("workers %d, %s: %.2f %% of a core, %.1f MiB, %.1f KB/s", n, role, 100*u.cpu, u.rss, u.bytes/1000)
			if role == "follower" {
				break
			}
		}
		u := spent(t, f.entries[leader].Process.Pid)
		t.Logf("workers %d, leader again: %.2f %% of a core, %.1f MiB, %.1f KB/s", n, 100*u.cpu, u.rss, u.bytes/1000)
		for _, c := range f.entries {
			_ = c.Process.Kill()
		}
	}
}

// TestSlopeRequests measures one instance at several rates, and a direct client
// beside it in the same run.
func TestSlopeRequests(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	f, platform := newFleet(t)
	var minions []string
	for k := range 8 {
		addr := freeAddr(t)
		minions = append(minions, addr)
		f.run("standin", "minion", "-platform", platform, "-name", fmt.Sprint("m", k), "-domain", "d", "-listen", addr)
	}
	f.startEntry("d-e1", "d", platform)
	f.until("all minions owned", func() bool { return f.status("d-e1").owned() == 8 })
	if code, body := f.post("d-e1", "/v1/patches", `{"id":"p1","operator":"test","base":0,"change":{"tenants":{"club":{"share":1}}}}`); code != 200 {
		t.Fatal(body)
	}
	pid := f.entries["d-e1"].Process.Pid
	for _, rate := range []int{0, 200, 800, 1600} {
		a := usageOf(t, pid)
		through := f.fire(rate, func(int) string { return "http://" + f.addrs["d-e1"] + "/run/x" })
		b := usageOf(t, pid)
		direct := f.fire(rate, func(n int) string { return "http://" + minions[n%8] + "/x" })
		t.Logf("rate %d/s: through p50 %.2f p99 %.2f ms, direct p50 %.2f p99 %.2f ms; %.1f %% of a core, %.1f MiB",
			rate, 1000*through[0], 1000*through[1], 1000*direct[0], 1000*direct[1], 100*(b.cpu-a.cpu)/10, b.rss)
	}
}

// fire sends requests at a rate for 10 s and gives p50 and p99 in seconds. The
// minions take 2 ms.
func (f *fleet) fire(rate int, url func(n int) string) [2]float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var times []float64
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; n < 10*rate; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / time.Duration(max(rate, 1)))))
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodPost, url(n), strings.NewReader("x"))
			if err != nil {
				return
			}
			for k, v := range map[string]string{"Tenant": "club", "Class": "quick", "Idempotent": "true"} {
				req.Header.Set("Tamaracklink-"+k, v)
			}
			req.Header.Set("Work-Ms", "2")
			start := time.Now()
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(start).Seconds())
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
