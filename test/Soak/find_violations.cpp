// Implements findViolations: compares what callers and backend servers observed with the guarantees of the relay.
#include "find_violations.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace radishflow {

using std::chrono::milliseconds;

// Time bounds apply again once no fault has been active for the platform's contact_ms.
static constexpr milliseconds recoveryTime { 3000 };
// drain_ms of the platform: time after which a draining server gets no more requests.
static constexpr milliseconds drainTimeout { 2000 };
// 1.5 times the cold rate of 10, plus a slack of 5, as the platform allows.
static constexpr std::size_t maxColdRequestsPerSecond = 20;
static constexpr milliseconds listingDelay { 500 }; ///< Time from writing an entry until all daemons have it.
// The routes' time limit of 800 ms, plus an allowance for delays of caller and daemon by the machine.
static constexpr milliseconds maxResponseTime { 1300 };

namespace {

    class violation_finder {
    public:
        explicit violation_finder(const soak_evidence& evidence)
            : m_evidence(evidence)
            , m_violations(evidence.violations)
        {
            for (const std::vector<received_request>& server : evidence.seen) {
                for (const received_request& request : server)
                    m_runs[request.id] += request.hasRun ? 1 : 0;
            }
        }

        std::vector<std::string> run()
        {
            for (const soak_call& call : m_evidence.calls) {
                checkResponse(call);
                checkRuns(call);
                checkKey(call);
                checkResponseTime(call);
                checkPlannedStop(call);
                checkServedAfterRecovery(call);
            }
            for (const soak_step& step : m_evidence.plan) {
                if (step.fault == soak_fault::DrainServer)
                    checkDrain(step);
                if (step.fault == soak_fault::ListServerAsCold)
                    checkCold(step);
            }
            return std::move(m_violations);
        }

    private:
        static bool isStream(const soak_call& call) { return call.kind == soak_call_kind::Stream || call.kind == soak_call_kind::ResumableStream; }

        void report(const soak_call& call, const std::string& violation)
        {
            m_violations.push_back(fmt::format("{} at {} ms on daemon {} (status {}, {} ms): {}", call.id, call.begin.count(), call.daemon, call.response.status, (call.end - call.begin).count(), violation));
        }

        milliseconds timeSinceStart(const received_request& seen) const { return std::chrono::duration_cast<milliseconds>(seen.at - m_evidence.began); }

        bool hasFault(soak_component component, int target, milliseconds begin, milliseconds end, const soak_step* excluded = nullptr) const
        {
            return std::any_of(m_evidence.plan.begin(), m_evidence.plan.end(), [&](const soak_step& step) {
                return &step != excluded && componentOf(step.fault) == component && (target < 0 || step.target == target) && step.at <= end && step.end() >= begin;
            });
        }

        bool wasStalled(milliseconds begin, milliseconds end) const
        {
            return std::any_of(m_evidence.stalls.begin(), m_evidence.stalls.end(), [&](const machine_stall& stall) { return stall.begin <= end && stall.end >= begin; });
        }

        static bool isExpectedBody(const soak_call& call) { return call.response.body.starts_with("answer of i-") && call.response.body.ends_with(" to " + call.id); }

        // The events must arrive in order; a broken stream may end within an event.
        static bool isExpectedStream(const soak_call& call)
        {
            constexpr int events = 20;
            std::string expected;
            for (int event = 1; event <= events; ++event)
                expected += fmt::format("id: {}\ndata: token {} of {}\n\n", event, event, call.id);
            return call.response.isComplete ? call.response.body == expected : expected.starts_with(call.response.body);
        }

        void checkResponse(const soak_call& call)
        {
            if (call.response.status != 200)
                return;
            if (isStream(call) ? !isExpectedStream(call) : call.response.isComplete && !isExpectedBody(call))
                report(call, "received an unexpected response: " + call.response.body);
        }

        void checkRuns(const soak_call& call)
        {
            const auto found = m_runs.find(call.id);
            const int runs = found == m_runs.end() ? 0 : found->second;
            const int maxRuns = call.kind == soak_call_kind::Order || call.kind == soak_call_kind::Stream ? 1 : 2;
            if (runs > maxRuns)
                report(call, fmt::format("ran {} times", runs));
            if (runs > 0 && call.response.body.find(R"("execution":"not_run")") != std::string::npos)
                report(call, "was reported as not run, but ran");
            if (runs == 0 && call.response.status == 200)
                report(call, "succeeded, but ran at no server");
        }

        void checkKey(const soak_call& call)
        {
            const auto key = static_cast<std::size_t>(call.keyNumber);
            if (key <= m_evidence.keyRemovals.size() && call.response.status == 200 && call.begin > m_evidence.keyRemovals[key - 1] + m_evidence.maxRevocationDelay)
                report(call, "was served with a revoked key");
        }

        void checkServedAfterRecovery(const soak_call& call)
        {
            if (call.begin < m_evidence.recoveredAt)
                return;
            const bool isKeyRemoved = static_cast<std::size_t>(call.keyNumber) <= m_evidence.keyRemovals.size();
            if (!call.response.isComplete || call.response.status != (isKeyRemoved ? 401 : 200))
                report(call, isKeyRemoved ? "has a revoked key, but was not refused with 401" : "was not served although all faults had ended");
        }

        void checkResponseTime(const soak_call& call)
        {
            const bool hasFaultAtDaemon = hasFault(soak_component::Daemon, call.daemon, call.begin, call.end) || hasFault(soak_component::CallerLink, call.daemon, call.begin - recoveryTime, call.end);
            if (!isStream(call) && !hasFaultAtDaemon && !wasStalled(call.begin, call.end) && call.end - call.begin > maxResponseTime)
                report(call, "was answered too late");
        }

        // A planned stop must complete the streams that run when it begins.
        void checkPlannedStop(const soak_call& call)
        {
            if (!isStream(call) || call.response.isComplete || call.response.status != 200)
                return;
            for (const soak_step& step : m_evidence.plan) {
                if (step.fault != soak_fault::StopDaemon || step.target != call.daemon || step.at < call.begin || step.at > call.end)
                    continue;
                const bool hasOtherCause = hasFault(soak_component::Server, -1, call.begin - recoveryTime, call.end) || hasFault(soak_component::ServerLink, -1, call.begin - recoveryTime, call.end)
                    || hasFault(soak_component::CallerLink, call.daemon, call.begin - recoveryTime, call.end) || hasFault(soak_component::Daemon, call.daemon, call.begin, call.end, &step);
                if (!hasOtherCause)
                    report(call, "was cut by a planned stop");
            }
        }

        void checkDrain(const soak_step& step)
        {
            for (const received_request& request : m_evidence.seen.at(static_cast<std::size_t>(step.target))) {
                const milliseconds at = timeSinceStart(request);
                if (at > step.at + drainTimeout && at < step.end() && !hasFault(soak_component::Daemon, -1, step.at - recoveryTime, at))
                    m_violations.push_back(fmt::format("{} reached server {} at {} ms, which is draining since {} ms", request.id, step.target, at.count(), step.at.count()));
            }
        }

        void checkCold(const soak_step& step)
        {
            std::vector<milliseconds> times;
            for (const received_request& request : m_evidence.seen.at(static_cast<std::size_t>(step.target))) {
                const milliseconds at = timeSinceStart(request);
                if (at > step.at + listingDelay && at < step.end())
                    times.push_back(at);
            }
            std::sort(times.begin(), times.end());
            std::size_t first = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= std::chrono::seconds { 1 })
                    ++first;
                if (last - first + 1 > maxColdRequestsPerSecond)
                    m_violations.push_back(fmt::format("server {}, cold since {} ms, received {} requests in the second before {} ms", step.target, step.at.count(), last - first + 1, times[last].count()));
            }
        }

        const soak_evidence& m_evidence;
        std::vector<std::string> m_violations;
        std::map<std::string, int> m_runs;
    };

} // namespace

std::vector<std::string> findViolations(const soak_evidence& evidence)
{
    return violation_finder { evidence }.run();
}

} // namespace radishflow
