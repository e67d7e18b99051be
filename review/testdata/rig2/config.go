package main

import (
	"fmt"
	"time"
)

// Sizes that the cases share. A quick job's are those of a quick request of the
// site.
const (
	minionCPU  = 32000
	minionMem  = 131072
	probeCPU   = 2800
	probeWork  = 640 * time.Millisecond
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // for which a job may have nothing running
)

// putConfig puts a configuration with three queues into force.
func putConfig(s *site) {
	s.st.put("keyed.op", "config", fmt.Appendf(nil, `{"version":3,"routes":[`+
		`{"name":"batch","host":%[1]q,"path_prefix":"/batch/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":%[2]q,"max_attempts":3,"stretch":4.0},`+
		`{"name":"profile","host":%[1]q,"path_prefix":"/profile/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":%[2]q,"max_attempts":2,"stretch":2.2},`+
		`{"name":"quick","host":%[1]q,"path_prefix":"/quick/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":%[2]q,"max_attempts":4,"stretch":1.5}],`+
		`"services":[{"name":%[2]q,"health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, host, service))
}
