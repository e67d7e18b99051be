package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/tamaracklink/tamaracklink/internal/state/config"
)

// BenchmarkApplyPatch measures the application of one accepted patch to a
// configuration with 100 to 1600 services, and reports the size of the snapshot
// with a full history and the size of the document.
func BenchmarkApplyPatch(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := config.NewState()
			var services []string
			for i := range n {
				services = append(services, fmt.Sprintf(`"s%d":{"tenant":"t","domain":"d%d","class":"normal","replicas":3,"size":{"cpu-milli":1000,"memory-mib":64,"accelerators":0},"command":"serve"}`, i, i%34))
			}
			doc := fmt.Sprintf(`{"tenants":{"t":{"share":1}},"services":{%s}}`, strings.Join(services, ","))
			s.Apply(0, config.Patch{ID: "first", Operator: "op", Change: json.RawMessage(doc)})
			b.ResetTimer()
			for i := 1; b.Loop(); i++ {
				change := fmt.Sprintf(`{"services":{"s%d":{"replicas":%d}}}`, i%n, 1+i%9)
				v := s.Apply(int64(i), config.Patch{ID: fmt.Sprint(i), Operator: "op", Base: s.Version, Change: json.RawMessage(change)})
				if v.Result != config.ResultAccepted {
					b.Fatal(v)
				}
			}
			data, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "snapshot-B")
			b.ReportMetric(float64(len(s.Doc)), "document-B")
		})
	}
}
