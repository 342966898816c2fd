// Implements a daemon's metrics on prometheus-cpp.
#include "radishflow/Metrics/daemon_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <utility>

namespace radishflow {

using steady = std::chrono::steady_clock;
using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

static const prometheus::Histogram::BucketBoundaries firstTokenBounds { 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30 };
static const prometheus::Histogram::BucketBoundaries betweenTokensBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 1, 5 };

struct daemon_metrics::state {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = prometheus::BuildCounter().Name("radishflow_requests_total").Help("Calls by service and outcome.").Register(registry);
    prometheus::Family<prometheus::Counter>& bytes = prometheus::BuildCounter().Name("radishflow_answer_bytes_total").Help("Bytes of answers read for callers.").Register(registry);
    prometheus::Family<prometheus::Histogram>& firstToken = prometheus::BuildHistogram().Name("radishflow_first_token_seconds").Help("From the call to the first bytes of its answer.").Register(registry);
    prometheus::Family<prometheus::Histogram>& betweenTokens = prometheus::BuildHistogram().Name("radishflow_between_tokens_seconds").Help("Between reads that brought bytes of one answer.").Register(registry);

    void count(const std::string& service, const std::string& outcome) { requests.Add({ { "service", service }, { "outcome", outcome } }).Increment(); }
};

namespace {

    // Counts the outcome of one call exactly once. If no outcome was recorded before the object is destroyed, the
    // destructor counts the call as "broken".
    template <typename State>
    class observed_call {
    public:
        observed_call(std::shared_ptr<State> state, std::string service)
            : m_state(std::move(state))
            , m_service(std::move(service))
        {
        }
        ~observed_call() { end("broken"); }
        observed_call(const observed_call&) = delete;
        observed_call& operator=(const observed_call&) = delete;

        void end(const std::string& outcome)
        {
            if (!std::exchange(m_isOutcomeCounted, true))
                m_state->count(m_service, outcome);
        }

        void record(const answer_part& part)
        {
            if (!part.data.empty())
                recordBytes(part.data.size());
            if (part.finished)
                end("done");
            else if (part.broken)
                end(m_hasBytes || !part.refused ? "broken" : nameOf(part.refused->execution));
        }

    private:
        void recordBytes(std::size_t count)
        {
            const auto now = steady::now();
            const double passed = std::chrono::duration<double>(now - std::exchange(m_last, now)).count();
            const bool isFirst = !std::exchange(m_hasBytes, true);
            (isFirst ? m_state->firstToken.Add({ { "service", m_service } }, firstTokenBounds) : m_state->betweenTokens.Add({ { "service", m_service } }, betweenTokensBounds)).Observe(passed);
            m_state->bytes.Add({ { "service", m_service } }).Increment(static_cast<double>(count));
        }

        std::shared_ptr<State> m_state;
        std::string m_service;
        steady::time_point m_last = steady::now();
        bool m_hasBytes = false;
        bool m_isOutcomeCounted = false;
    };

} // namespace

daemon_metrics::daemon_metrics()
    : m_state(std::make_shared<state>())
{
}

daemon_metrics::~daemon_metrics() = default;

caller_answer daemon_metrics::observe(const std::string& service, const std::function<caller_answer()>& call)
{
    auto counted = std::make_shared<observed_call<state>>(m_state, service);
    caller_answer answer = call();
    if (answer.refused) {
        counted->end(nameOf(answer.refused->execution));
        return answer;
    }
    answer.read = [counted, read = std::move(answer.read)](std::uint64_t offset, std::chrono::milliseconds wait) {
        answer_part part = read(offset, wait);
        counted->record(part);
        return part;
    };
    return answer;
}

static MetricFamily familyOf(const char* name, const char* help, MetricType type)
{
    MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = type;
    return family;
}

static void add(MetricFamily& family, std::vector<ClientMetric::Label> labels, double value)
{
    ClientMetric metric;
    metric.label = std::move(labels);
    (family.type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
    family.metric.push_back(std::move(metric));
}

static void addControl(std::vector<MetricFamily>& families, const gossip_traffic& control)
{
    MetricFamily bytes = familyOf("radishflow_control_bytes_total", "UDP payload of control messages by kind.", MetricType::Counter);
    MetricFamily time = familyOf("radishflow_control_processor_seconds_total", "Processor time of control messages by kind.", MetricType::Counter);
    // Kind 0 is not a message kind.
    for (std::size_t kind = 1; kind < messageKindCount; ++kind) {
        const std::string name = nameOf(static_cast<message_kind>(kind));
        for (const auto& [direction, counters] : { std::pair { "sent", &control.sent }, std::pair { "received", &control.received } }) {
            const std::vector<ClientMetric::Label> labels { { "kind", name }, { "direction", direction } };
            add(bytes, labels, static_cast<double>((*counters)[kind].bytes));
            add(time, labels, std::chrono::duration<double>((*counters)[kind].processorTime).count());
        }
    }
    families.push_back(std::move(bytes));
    families.push_back(std::move(time));
}

std::string daemon_metrics::text(const metrics_reading& reading) const
{
    std::vector<MetricFamily> families = m_state->registry.Collect();
    MetricFamily connections = familyOf("radishflow_caller_connections", "Callers' connections that are open.", MetricType::Gauge);
    add(connections, {}, reading.connections);
    MetricFamily version = familyOf("radishflow_config_version", "Version of the configuration in force.", MetricType::Gauge);
    add(version, {}, static_cast<double>(reading.configVersion));
    MetricFamily running = familyOf("radishflow_server_running", "Requests at an owned server.", MetricType::Gauge);
    MetricFamily limit = familyOf("radishflow_server_limit", "Most requests that an owned server gets now.", MetricType::Gauge);
    for (const server_reading& server : reading.servers) {
        add(running, { { "server", server.server.value() } }, server.running);
        add(limit, { { "server", server.server.value() } }, server.limit);
    }
    families.insert(families.end(), { connections, version, running, limit });
    addControl(families, reading.control);
    return prometheus::TextSerializer {}.Serialize(families);
}

} // namespace radishflow
