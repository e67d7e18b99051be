// Package meter keeps counters, gauges and histograms, and writes them in the
// Prometheus text format. Histograms have the labels tenant and class and are
// written in milliseconds.
package meter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	sampleSize  = 512   // values kept for each histogram
	sampleDecay = 0.015 // alpha of the exponentially decaying sample; a higher one favors recent values more
	maxSeries   = 4096  // further label sets of a metric share one series without labels
)

// quantiles lists the quantiles written for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Set is a set of metrics. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry

	mu     sync.Mutex        // guards labels
	labels map[string]string // label text by registry key, as in name{labels}
}

// New returns an empty set.
func New() *Set {
	return &Set{registry: metrics.NewRegistry(), labels: map[string]string{}}
}

// Observe adds a duration to the histogram of that name for the tenant and class.
// It is kept in microseconds and written in milliseconds.
func (s *Set) Observe(name, tenant, class string, d time.Duration) {
	h := s.registry.GetOrRegister(s.seriesKey(name, "tenant", tenant, "class", class), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Count adds n to the counter of that name for one label and its value.
func (s *Set) Count(name, label, value string, n int64) {
	c := s.registry.GetOrRegister(s.seriesKey(name, label, value), metrics.NewCounter).(metrics.Counter)
	c.Inc(n)
}

// CountBy adds 1 to the counter of that name and pairs of label names and values.
func (s *Set) CountBy(name string, labels ...string) {
	s.registry.GetOrRegister(s.seriesKey(name, labels...), metrics.NewCounter).(metrics.Counter).Inc(1)
}

// Gauge sets the gauge of that name and pairs of label names and values to v.
func (s *Set) Gauge(name string, v float64, labels ...string) {
	g := s.registry.GetOrRegister(s.seriesKey(name, labels...), metrics.NewGaugeFloat64).(metrics.GaugeFloat64)
	g.Update(v)
}

// seriesKey returns the registry key of a metric with the given pairs of label
// names and values: name{labels}. Once the set has maxSeries keys, it returns
// name{} for any other.
func (s *Set) seriesKey(name string, labels ...string) string {
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	key := name + "{" + b.String() + "}"
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.labels[key]; ok {
		return key
	}
	if len(s.labels) >= maxSeries {
		return name + "{}"
	}
	s.labels[key] = b.String()
	return key
}

// Write writes all metrics in the text format, in the order of the lines. Errors
// of w are ignored.
func (s *Set) Write(w io.Writer) {
	var lines []string
	s.registry.Each(func(key string, v any) {
		name, labels, _ := strings.Cut(key, "{")
		lines = append(lines, formatMetric(name, strings.TrimSuffix(labels, "}"), v)...)
	})
	sort.Strings(lines)
	for _, l := range lines {
		// A write fails only if the scraper has disconnected, and then nobody
		// is left to report the error to.
		_, _ = fmt.Fprintln(w, l)
	}
}

// formatMetric returns the lines of one metric; none for an unknown type.
func formatMetric(name, labels string, v any) []string {
	switch m := v.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s{%s} %d", name, labels, m.Count())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s{%s} %g", name, labels, m.Value())}
	case metrics.Histogram:
		return formatHistogram(name, labels, m.Snapshot())
	}
	return nil
}

// formatHistogram returns the lines of a histogram: count, sum and quantiles,
// with the values converted from microseconds to milliseconds.
func formatHistogram(name, labels string, h metrics.Histogram) []string {
	separator := ""
	if labels != "" {
		separator = ","
	}
	lines := []string{
		fmt.Sprintf("%s_count{%s} %d", name, labels, h.Count()),
		fmt.Sprintf("%s_sum{%s} %g", name, labels, float64(h.Sum())/1000),
	}
	for i, p := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{%s%squantile=%q} %g", name, labels, separator, fmt.Sprint(quantiles[i]), p/1000))
	}
	return lines
}
