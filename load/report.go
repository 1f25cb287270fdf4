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

// point is one request in the picture.
type point struct {
	at      time.Duration
	latency time.Duration
	failed  bool
	long    bool
}

// Report is the result of a run. Latencies are in milliseconds, rates per second.
type Report struct {
	Options Options                         `json:"options"`
	Phases  map[Phase]map[string]KindReport `json:"phases"`
	Served  map[Phase]float64               `json:"served"` // requests that ran, a second, reports left out
	Useful  map[Phase]float64               `json:"useful"` // the same, within the useful time
	Metrics map[string]int64                `json:"metrics"`
	Share   float64                         `json:"replicashare"` // of the reads that the profile lets replicas serve
	series  []point
}

// KindReport is one kind of request in one phase.
type KindReport struct {
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons,omitempty"`
	P50      float64        `json:"p50"`
	P99      float64        `json:"p99"`
	Max      float64        `json:"max"`
	Refused  float64        `json:"refusedp99"` // time until a refusal
}

const (
	microsecondsPerMillisecond = 1000.0
	phases                     = 3
	chartWidth                 = 20 * vg.Centimeter
	chartHeight                = 10 * vg.Centimeter
)

func (r *Runner) newReport(before, after map[string]int64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{
		Options: r.options, Phases: map[Phase]map[string]KindReport{}, Served: map[Phase]float64{},
		Useful:  map[Phase]float64{},
		Metrics: map[string]int64{}, series: r.series,
	}
	report.Options.Password = ""
	third := r.options.Duration.Seconds() / phases
	for phase, kinds := range r.results {
		report.Phases[phase] = map[string]KindReport{}
		for name, t := range kinds {
			report.Phases[phase][name] = t.report()
			if name != reportKind {
				report.Served[phase] += float64(t.outcomes[citronusher.Ran.String()]) / third
				report.Useful[phase] += float64(t.useful) / third
			}
		}
	}
	for name, value := range after {
		if delta := value - before[name]; delta != 0 {
			report.Metrics[name] = delta
		}
	}
	if allowed := report.Metrics["requests.allowed"]; allowed > 0 {
		report.Share = float64(report.Metrics["requests.replica"]) / float64(allowed)
	}
	return report
}

func (t *tally) report() KindReport {
	return KindReport{
		Outcomes: t.outcomes, Reasons: t.reasons,
		P50:     float64(t.latencies.ValueAtQuantile(50)) / microsecondsPerMillisecond,
		P99:     float64(t.latencies.ValueAtQuantile(99)) / microsecondsPerMillisecond,
		Max:     float64(t.latencies.Max()) / microsecondsPerMillisecond,
		Refused: float64(t.refusals.ValueAtQuantile(99)) / microsecondsPerMillisecond,
	}
}

// metrics adds up the counters of all daemons.
func (r *Runner) metrics(ctx context.Context) map[string]int64 {
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
		var all map[string]struct {
			Count *int64 `json:"count"`
		}
		_ = json.NewDecoder(response.Body).Decode(&all)
		_ = response.Body.Close()
		for name, value := range all {
			if value.Count != nil {
				sums[name] += *value.Count
			}
		}
	}
	return sums
}

// Summary returns the report in lines for a person.
func (r Report) Summary() []string {
	lines := []string{fmt.Sprintf("share of replicas: %.1f%% of the reads that the profile allows", r.Share*100)}
	for _, phase := range []Phase{Calm, Crest, After} {
		lines = append(lines, fmt.Sprintf("%s: %.0f served a second, %.0f within %s", phase, r.Served[phase],
			r.Useful[phase], r.Options.Useful))
		for _, name := range slices.Sorted(maps.Keys(r.Phases[phase])) {
			k := r.Phases[phase][name]
			lines = append(lines, fmt.Sprintf("  %-12s p50 %7.1f ms  p99 %7.1f ms  max %7.1f ms  refused within %.0f ms  %v %v",
				name, k.P50, k.P99, k.Max, k.Refused, k.Outcomes, k.Reasons))
		}
	}
	return lines
}

// Write stores the report as PREFIX.json and its picture as PREFIX.svg.
func (r Report) Write(prefix string) error {
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(prefix+".json", append(body, '\n'), 0o600); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return r.draw(prefix + ".svg")
}

// draw plots the latency of each second's slowest percent over time.
func (r Report) draw(path string) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "p99 of short requests, ms"
	bySecond := map[int][]float64{}
	for _, q := range r.series {
		if !q.long && !q.failed {
			second := int(q.at / time.Second)
			bySecond[second] = append(bySecond[second], q.latency.Seconds()*microsecondsPerMillisecond)
		}
	}
	var line plotter.XYs
	for _, second := range slices.Sorted(maps.Keys(bySecond)) {
		all := bySecond[second]
		slices.Sort(all)
		line = append(line, plotter.XY{X: float64(second), Y: all[len(all)*99/100]})
	}
	curve, err := plotter.NewLine(line)
	if err != nil {
		return fmt.Errorf("picture: %w", err)
	}
	p.Add(curve, plotter.NewGrid())
	if err := p.Save(chartWidth, chartHeight, path); err != nil {
		return fmt.Errorf("picture: %w", err)
	}
	return nil
}
