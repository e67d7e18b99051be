package work

import "fmt"

// Size is an amount of resources: the request of a task, or the capacity or
// usage of a worker.
type Size struct {
	CPU          int64 `json:"cpu-milli"`    // thousandths of a core
	Memory       int64 `json:"memory-mib"`   // mebibytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// Add returns s + t.
func (s Size) Add(t Size) Size {
	return Size{s.CPU + t.CPU, s.Memory + t.Memory, s.Accelerators + t.Accelerators}
}

// Sub returns s - t. Amounts may become negative.
func (s Size) Sub(t Size) Size {
	return Size{s.CPU - t.CPU, s.Memory - t.Memory, s.Accelerators - t.Accelerators}
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	return Size{s.CPU * n, s.Memory * n, s.Accelerators * n}
}

// FitsIn reports whether no amount in s exceeds that in t.
func (s Size) FitsIn(t Size) bool {
	return s.CPU <= t.CPU && s.Memory <= t.Memory && s.Accelerators <= t.Accelerators
}

// Max returns, for each resource, the larger amount of s and t.
func (s Size) Max(t Size) Size {
	return Size{max(s.CPU, t.CPU), max(s.Memory, t.Memory), max(s.Accelerators, t.Accelerators)}
}

// String returns the size in readable form, for messages.
func (s Size) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d acc", s.CPU, s.Memory, s.Accelerators)
}
