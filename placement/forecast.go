package placement

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxForecastSeries bounds the metrics of endpoints, and those of routes. Others share
	// the one with the name otherSeries.
	maxForecastSeries = 64
	otherSeries       = "other"
	// forecastMemory is the time constant of the mean error. Operators read metrics some
	// times a minute.
	forecastMemory = 30 * time.Second
	// idleForecastTTL is how long a series without requests is kept when others need its
	// place.
	idleForecastTTL = 10 * time.Minute

	endpointErrorPrefix = "forecast.error_ms.endpoint."
	routeErrorPrefix    = "forecast.error_ms.route."
)

// forecastErrors are the mean absolute differences between the expected and the observed time
// to the first event.
type forecastErrors struct {
	endpoints, routes map[string]*forecastError
}

// forecastError is a decaying mean. The observed sum and weight have the decay of updatedAt.
type forecastError struct {
	sum, weight float64
	updatedAt   time.Time
	gauge       metrics.Gauge
}

// add adds the error of one request's forecast.
func (e *forecastErrors) add(registry metrics.Registry, endpoint, route string, millis float64, now time.Time) {
	if registry == nil {
		return
	}
	if e.endpoints == nil {
		e.endpoints, e.routes = map[string]*forecastError{}, map[string]*forecastError{}
	}
	forecastSeries(registry, e.endpoints, endpointErrorPrefix, endpoint, now).add(math.Abs(millis), now)
	if route != "" {
		forecastSeries(registry, e.routes, routeErrorPrefix, route, now).add(math.Abs(millis), now)
	}
}

// forget drops the series of an endpoint.
func (e *forecastErrors) forget(registry metrics.Registry, endpoint string) {
	if e.endpoints[endpoint] != nil {
		delete(e.endpoints, endpoint)
		registry.Unregister(endpointErrorPrefix + endpoint)
	}
}

// forecastSeries returns the series of the name, or the one that is shared.
func forecastSeries(registry metrics.Registry, series map[string]*forecastError, prefix, name string, now time.Time) *forecastError {
	if s := series[name]; s != nil {
		return s
	}
	if isFull(series) {
		dropIdle(registry, series, prefix, now)
	}
	if isFull(series) {
		name = otherSeries
		if s := series[name]; s != nil {
			return s
		}
	}
	s := &forecastError{updatedAt: now, gauge: metrics.GetOrRegisterGauge(prefix+name, registry)}
	series[name] = s
	return s
}

// isFull reports whether there is no place but that of the shared series.
func isFull(series map[string]*forecastError) bool {
	named := len(series)
	if series[otherSeries] != nil {
		named--
	}
	return named >= maxForecastSeries-1
}

// dropIdle drops the series without recent requests.
func dropIdle(registry metrics.Registry, series map[string]*forecastError, prefix string, now time.Time) {
	for name, s := range series {
		if now.Sub(s.updatedAt) > idleForecastTTL {
			delete(series, name)
			registry.Unregister(prefix + name)
		}
	}
}

// add adds an absolute error.
func (s *forecastError) add(millis float64, now time.Time) {
	decay := math.Exp(-max(0, now.Sub(s.updatedAt).Seconds()) / forecastMemory.Seconds())
	s.sum, s.weight = s.sum*decay+millis, s.weight*decay+1
	s.updatedAt = now
	s.gauge.Update(int64(math.Round(s.sum / s.weight)))
}
