// Implements the judgement of a soak, from what callers and backend servers saw.
#include "soak_judge.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace radishflow {

using std::chrono::milliseconds;

// A daemon is held to bounds in time once nothing has disturbed it for this long, the platform's contact_ms.
static constexpr milliseconds contact { 3000 };
// The platform's drain_ms.
static constexpr milliseconds drainBound { 2000 };
// The platform's 1.5 times the rate of 10 and a slack of 5.
static constexpr std::size_t mostColdInSecond = 20;
static constexpr milliseconds listLag { 500 }; ///< From the writing of an entry to its arrival everywhere.
// The routes' time limit of 800 ms and what the machine may delay caller and daemon.
static constexpr milliseconds answerBound { 1300 };

namespace {

    class soak_judgement {
    public:
        explicit soak_judgement(const soak_evidence& evidence)
            : m_evidence(evidence)
            , m_broken(evidence.broken)
        {
            for (const std::vector<received_request>& server : evidence.seen) {
                for (const received_request& each : server)
                    m_runs[each.id] += each.hasRun ? 1 : 0;
            }
        }

        std::vector<std::string> run()
        {
            for (const soak_call& call : m_evidence.calls) {
                checkAnswer(call);
                checkRuns(call);
                checkKey(call);
                checkTime(call);
                checkStop(call);
                checkSettled(call);
            }
            for (const soak_step& step : m_evidence.plan) {
                if (step.fault == soak_fault::DrainServer)
                    checkDrain(step);
                if (step.fault == soak_fault::CoolServer)
                    checkCold(step);
            }
            return std::move(m_broken);
        }

    private:
        static bool isStream(const soak_call& call) { return call.kind == soak_call_kind::Stream || call.kind == soak_call_kind::ResumableStream; }

        void tell(const soak_call& call, const std::string& what)
        {
            m_broken.push_back(fmt::format("{} at {} ms on daemon {} (status {}, {} ms): {}", call.id, call.begin.count(), call.daemon, call.answer.status, (call.end - call.begin).count(), what));
        }

        milliseconds timeOf(const received_request& seen) const { return std::chrono::duration_cast<milliseconds>(seen.at - m_evidence.began); }

        bool isDisturbed(soak_part part, int target, milliseconds begin, milliseconds end, const soak_step* apartFrom = nullptr) const
        {
            return std::any_of(m_evidence.plan.begin(), m_evidence.plan.end(), [&](const soak_step& step) {
                return &step != apartFrom && partOf(step.fault) == part && (target < 0 || step.target == target) && step.at <= end && step.end() >= begin;
            });
        }

        bool hasStalled(milliseconds begin, milliseconds end) const
        {
            return std::any_of(m_evidence.stalls.begin(), m_evidence.stalls.end(), [&](const machine_stall& stall) { return stall.begin <= end && stall.end >= begin; });
        }

        static bool isExpectedPlain(const soak_call& call) { return call.answer.body.starts_with("answer of i-") && call.answer.body.ends_with(" to " + call.id); }

        // Whole events in order, and at a break at most a part of the next.
        static bool isExpectedStream(const soak_call& call)
        {
            constexpr int events = 20;
            std::string expected;
            for (int event = 1; event <= events; ++event)
                expected += fmt::format("id: {}\ndata: token {} of {}\n\n", event, event, call.id);
            return call.answer.isWhole ? call.answer.body == expected : expected.starts_with(call.answer.body);
        }

        void checkAnswer(const soak_call& call)
        {
            if (call.answer.status != 200)
                return;
            if (isStream(call) ? !isExpectedStream(call) : call.answer.isWhole && !isExpectedPlain(call))
                tell(call, "got another answer: " + call.answer.body);
        }

        void checkRuns(const soak_call& call)
        {
            const auto found = m_runs.find(call.id);
            const int runs = found == m_runs.end() ? 0 : found->second;
            const int most = call.kind == soak_call_kind::Order || call.kind == soak_call_kind::Stream ? 1 : 2;
            if (runs > most)
                tell(call, fmt::format("ran {} times", runs));
            if (runs > 0 && call.answer.body.find(R"("execution":"not_run")") != std::string::npos)
                tell(call, "was said not to have run, and ran");
            if (runs == 0 && call.answer.status == 200)
                tell(call, "was answered and ran nowhere");
        }

        void checkKey(const soak_call& call)
        {
            const auto key = static_cast<std::size_t>(call.keyNumber);
            if (key <= m_evidence.keyRemovals.size() && call.answer.status == 200 && call.begin > m_evidence.keyRemovals[key - 1] + m_evidence.maxRevocationDelay)
                tell(call, "was served with a key that was taken away");
        }

        void checkSettled(const soak_call& call)
        {
            if (call.begin < m_evidence.settled)
                return;
            const bool isKeyRemoved = static_cast<std::size_t>(call.keyNumber) <= m_evidence.keyRemovals.size();
            if (!call.answer.isWhole || call.answer.status != (isKeyRemoved ? 401 : 200))
                tell(call, isKeyRemoved ? "has a key that was taken away, and wasn't told so" : "was not served after the last disturbance");
        }

        void checkTime(const soak_call& call)
        {
            const bool isDisturbedHere = isDisturbed(soak_part::Daemon, call.daemon, call.begin, call.end) || isDisturbed(soak_part::CallerLink, call.daemon, call.begin - contact, call.end);
            if (!isStream(call) && !isDisturbedHere && !hasStalled(call.begin, call.end) && call.end - call.begin > answerBound)
                tell(call, "was answered too late");
        }

        // A planned stop ends streams whole that were running when it came.
        void checkStop(const soak_call& call)
        {
            if (!isStream(call) || call.answer.isWhole || call.answer.status != 200)
                return;
            for (const soak_step& step : m_evidence.plan) {
                if (step.fault != soak_fault::StopDaemon || step.target != call.daemon || step.at < call.begin || step.at > call.end)
                    continue;
                const bool hasOtherCause = isDisturbed(soak_part::Server, -1, call.begin - contact, call.end) || isDisturbed(soak_part::ServerLink, -1, call.begin - contact, call.end)
                    || isDisturbed(soak_part::CallerLink, call.daemon, call.begin - contact, call.end) || isDisturbed(soak_part::Daemon, call.daemon, call.begin, call.end, &step);
                if (!hasOtherCause)
                    tell(call, "was cut by a planned stop");
            }
        }

        void checkDrain(const soak_step& step)
        {
            for (const received_request& each : m_evidence.seen.at(static_cast<std::size_t>(step.target))) {
                const milliseconds at = timeOf(each);
                if (at > step.at + drainBound && at < step.end() && !isDisturbed(soak_part::Daemon, -1, step.at - contact, at))
                    m_broken.push_back(fmt::format("{} came at {} ms to server {}, which drains since {} ms", each.id, at.count(), step.target, step.at.count()));
            }
        }

        void checkCold(const soak_step& step)
        {
            std::vector<milliseconds> times;
            for (const received_request& each : m_evidence.seen.at(static_cast<std::size_t>(step.target))) {
                const milliseconds at = timeOf(each);
                if (at > step.at + listLag && at < step.end())
                    times.push_back(at);
            }
            std::sort(times.begin(), times.end());
            std::size_t first = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= std::chrono::seconds { 1 })
                    ++first;
                if (last - first + 1 > mostColdInSecond)
                    m_broken.push_back(fmt::format("server {}, cold since {} ms, got {} requests in the second before {} ms", step.target, step.at.count(), last - first + 1, times[last].count()));
            }
        }

        const soak_evidence& m_evidence;
        std::vector<std::string> m_broken;
        std::map<std::string, int> m_runs;
    };

} // namespace

std::vector<std::string> judge(const soak_evidence& evidence)
{
    return soak_judgement { evidence }.run();
}

} // namespace radishflow
