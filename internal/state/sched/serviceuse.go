package sched

import "time"

// serviceUse is the use of the usable workers of one service. CPU is in thousandths
// of a core.
type serviceUse struct {
	service      string
	workers      int
	usedCPU, cpu int64
}

// findServices returns the use of each service that has usable workers, by name.
func (e *Engine) findServices(now time.Time) map[string]*serviceUse {
	services := map[string]*serviceUse{}
	var u *serviceUse
	for _, w := range e.workersByID {
		if !w.usable(now) {
			continue
		}
		if u == nil || u.service != w.Service {
			if u = services[w.Service]; u == nil {
				u = &serviceUse{service: w.Service}
				services[w.Service] = u
			}
		}
		u.workers++
		u.usedCPU += w.used.CPU
		u.cpu += w.Capacity.CPU
	}
	return services
}

// service returns the use of a service, a zero one if it has no usable worker.
func (p *schedulingPass) service(name string) *serviceUse {
	if u := p.services[name]; u != nil {
		return u
	}
	return &serviceUse{service: name}
}

// mostlyIdle reports whether less than half of the CPU is used.
func (u *serviceUse) mostlyIdle() bool { return 2*u.usedCPU < u.cpu }

// mostlyBusy reports whether at least minBusyShare of the CPU is used.
func (u *serviceUse) mostlyBusy() bool {
	return u.cpu > 0 && float64(u.usedCPU) >= minBusyShare*float64(u.cpu)
}
