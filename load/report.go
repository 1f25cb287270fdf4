package load

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"citronusher.example/citronusher"
)

// sample is the result of one request, for the chart.
type sample struct {
	at      time.Duration
	latency time.Duration
	failed  bool
	report  bool
}

// Report is the result of a run. Latencies are in milliseconds, rates per second.
type Report struct {
	Options      Options                         `json:"options"`
	Phases       map[Phase]map[string]KindReport `json:"phases"`
	Served       map[Phase]float64               `json:"served"` // requests per second that ran, without long reports
	Useful       map[Phase]float64               `json:"useful"` // of these, the requests within Options.Useful
	Metrics      map[string]int64                `json:"metrics"`
	ReplicaShare float64                         `json:"replicashare"` // of replica-eligible reads that replicas served, 0 to 1
	samples      []sample
}

// KindReport is the result of one kind of request in one phase. Latencies are in milliseconds.
type KindReport struct {
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons,omitempty"`
	P50      float64        `json:"p50"`
	P99      float64        `json:"p99"`
	Max      float64        `json:"max"`
	ErrorP99 float64        `json:"refusedp99"` // p99 of the requests that returned an error
}

const (
	microsecondsPerMillisecond = 1000.0
	phaseCount                 = 3
	chartWidth                 = 20 * vg.Centimeter
	chartHeight                = 10 * vg.Centimeter
)

// newReport builds the report from the recorded results and the daemons' counters before and after the run.
func (r *Runner) newReport(before, after map[string]int64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{
		Options: r.options, Phases: map[Phase]map[string]KindReport{}, Served: map[Phase]float64{},
		Useful:  map[Phase]float64{},
		Metrics: map[string]int64{}, samples: r.samples,
	}
	report.Options.Password = ""
	phaseSeconds := r.options.Duration.Seconds() / phaseCount
	for phase, kinds := range r.results {
		report.Phases[phase] = map[string]KindReport{}
		for name, t := range kinds {
			report.Phases[phase][name] = t.newReport()
			if name != reportKind {
				report.Served[phase] += float64(t.outcomes[citronusher.Ran.String()]) / phaseSeconds
				report.Useful[phase] += float64(t.useful) / phaseSeconds
			}
		}
	}
	for name, value := range after {
		if delta := value - before[name]; delta != 0 {
			report.Metrics[name] = delta
		}
	}
	if allowed := report.Metrics["requests.allowed"]; allowed > 0 {
		report.ReplicaShare = float64(report.Metrics["requests.replica"]) / float64(allowed)
	}
	return report
}

func (t *kindStats) newReport() KindReport {
	return KindReport{
		Outcomes: t.outcomes, Reasons: t.reasons,
		P50:      float64(t.latencies.ValueAtQuantile(50)) / microsecondsPerMillisecond,
		P99:      float64(t.latencies.ValueAtQuantile(99)) / microsecondsPerMillisecond,
		Max:      float64(t.latencies.Max()) / microsecondsPerMillisecond,
		ErrorP99: float64(t.errorLatencies.ValueAtQuantile(99)) / microsecondsPerMillisecond,
	}
}

// fetchCounters returns the sums of all daemons' counters. A daemon that cannot be reached is left out.
func (r *Runner) fetchCounters(ctx context.Context) map[string]int64 {
	sums := map[string]int64{}
	for _, address := range r.options.Health {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
		if err != nil {
			continue
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		var counters map[string]struct {
			Count *int64 `json:"count"`
		}
		_ = json.NewDecoder(response.Body).Decode(&counters)
		_ = response.Body.Close()
		for name, value := range counters {
			if value.Count != nil {
				sums[name] += *value.Count
			}
		}
	}
	return sums
}

// Summary returns the report as lines of text.
func (r Report) Summary() []string {
	lines := []string{fmt.Sprintf("replica share: %.1f%% of replica-eligible reads", r.ReplicaShare*100)}
	for _, phase := range []Phase{Calm, Crest, After} {
		lines = append(lines, fmt.Sprintf("%s: %.0f served per second, %.0f within %s", phase, r.Served[phase],
			r.Useful[phase], r.Options.Useful))
		for _, name := range slices.Sorted(maps.Keys(r.Phases[phase])) {
			k := r.Phases[phase][name]
			lines = append(lines, fmt.Sprintf("  %-12s p50 %7.1f ms  p99 %7.1f ms  max %7.1f ms  errors p99 %.0f ms  %v %v",
				name, k.P50, k.P99, k.Max, k.ErrorP99, k.Outcomes, k.Reasons))
		}
	}
	return lines
}

// Write writes the report to PREFIX.json and its chart to PREFIX.svg.
func (r Report) Write(prefix string) error {
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(prefix+".json", append(body, '\n'), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return r.writeChart(prefix + ".svg")
}

// writeChart plots the p99 latency of each second's successful requests over time, without long reports.
func (r Report) writeChart(path string) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "p99 of short requests, ms"
	bySecond := map[int][]float64{}
	for _, s := range r.samples {
		if !s.report && !s.failed {
			second := int(s.at / time.Second)
			bySecond[second] = append(bySecond[second], s.latency.Seconds()*microsecondsPerMillisecond)
		}
	}
	var line plotter.XYs
	for _, second := range slices.Sorted(maps.Keys(bySecond)) {
		latencies := bySecond[second]
		slices.Sort(latencies)
		line = append(line, plotter.XY{X: float64(second), Y: latencies[len(latencies)*99/100]})
	}
	curve, err := plotter.NewLine(line)
	if err != nil {
		return fmt.Errorf("draw chart: %w", err)
	}
	p.Add(curve, plotter.NewGrid())
	if err := p.Save(chartWidth, chartHeight, path); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}
