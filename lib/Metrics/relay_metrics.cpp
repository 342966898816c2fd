// Implements the metrics of a relaying daemon on prometheus-cpp.
#include "radishflow/Metrics/relay_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>

namespace radishflow {

static const prometheus::Histogram::BucketBoundaries latencyBounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 5, 10 }; // Seconds.

struct relay_metrics::state {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter().Name("radishflow_requests_total").Help("Requests by service and outcome.").Register(registry);
    prometheus::Family<prometheus::Counter>& sends = prometheus::BuildCounter().Name("radishflow_sends_total").Help("Sends to backend servers by service.").Register(registry);
    prometheus::Family<prometheus::Counter>& forwarded = prometheus::BuildCounter().Name("radishflow_forwarded_total").Help("Requests forwarded between daemons by direction and outcome; received ones also count as requests.").Register(registry);
    prometheus::Family<prometheus::Counter>& prompts = prometheus::BuildCounter().Name("radishflow_prompts_total").Help("Sent requests with a shared prompt by service and where the server has it from.").Register(registry);
    prometheus::Family<prometheus::Histogram>& firstBytes = prometheus::BuildHistogram().Name("radishflow_first_bytes_seconds").Help("From the request to the first bytes of its answer.").Register(registry);
    prometheus::Family<prometheus::Histogram>& total = prometheus::BuildHistogram().Name("radishflow_request_seconds").Help("From the request to the end of its answer.").Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge().Name("radishflow_state").Help("State of the process by name.").Register(registry);
    prometheus::Family<prometheus::Gauge>& rolloutShares = prometheus::BuildGauge().Name("radishflow_rollout_share").Help("Share of a service's requests that the target of its roll-out gets.").Register(registry);
    prometheus::Family<prometheus::Gauge>& rolloutCounts = prometheus::BuildGauge().Name("radishflow_rollout_evidence").Help("Requests and responses of a roll-out by name, of all daemons at a coordinator.").Register(registry);
};

relay_metrics::relay_metrics()
    : m_state(std::make_unique<state>())
{
}

relay_metrics::~relay_metrics() = default;

static double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

void relay_metrics::count(const request_record& record)
{
    const std::string& service = record.service.value();
    m_state->requests.Add({ { "service", service }, { "outcome", record.outcome } }).Increment();
    if (!record.forwardedTo.empty())
        m_state->forwarded.Add({ { "direction", "sent" }, { "outcome", record.outcome } }).Increment();
    if (!record.forwardedFrom.empty())
        m_state->forwarded.Add({ { "direction", "received" }, { "outcome", record.outcome } }).Increment();
    if (record.sends > 0)
        m_state->sends.Add({ { "service", service } }).Increment(record.sends);
    if (record.sends > 0 && record.prompt != "none")
        m_state->prompts.Add({ { "service", service }, { "origin", record.prompt } }).Increment();
    if (record.firstBytes)
        m_state->firstBytes.Add({ { "service", service } }, latencyBounds).Observe(seconds(*record.firstBytes));
    m_state->total.Add({ { "service", service } }, latencyBounds).Observe(seconds(record.total));
}

void relay_metrics::setGauge(const std::string& name, double value)
{
    m_state->gauges.Add({ { "name", name } }).Set(value);
}

void relay_metrics::setRollout(const std::string& service, const std::string& target, double share, const std::vector<std::pair<std::string, std::uint64_t>>& counts)
{
    m_state->rolloutShares.Add({ { "service", service }, { "target", target } }).Set(share);
    for (const auto& [name, value] : counts)
        m_state->rolloutCounts.Add({ { "service", service }, { "target", target }, { "name", name } }).Set(static_cast<double>(value));
}

std::string relay_metrics::text() const
{
    return prometheus::TextSerializer {}.Serialize(m_state->registry.Collect());
}

} // namespace radishflow
