// Plays requests for many prompts that arrive at random daemons of a fleet, in virtual time. A daemon's view of the servers
// consists of load reports in responses and of the other daemons' hints.
#pragma once

#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace radishflow {

struct fleet_load {
    int daemons = 0;
    int servers = 0;
    double requestsPerSecond = 0;
    int prompts = 0;
    double hotShare = 0; ///< Share of the requests that use one and the same prompt.
    double meanSeconds = 2.5; ///< Mean duration of a request at an idle server.
    double slowdownPerRequest = 0; ///< Share by which each running request extends the duration of a new one.
    double shortShare = 0; ///< Share of the requests that last a tenth of the mean.
    int clump = 1; ///< Requests that arrive at the same time.
    bool isContended = false; ///< The balancers are set so.
    duration firstTokenDelay = std::chrono::milliseconds { 300 }; ///< The first report of a request arrives with its response head.

    friend std::ostream& operator<<(std::ostream& out, const fleet_load& load) { return out << load.daemons << " daemons, " << load.servers << " servers, hot share " << load.hotShare; }
};

/// Times are relative to the start of the play; a disruption whose end is not after its start does not happen.
struct fleet_disruption {
    std::string name;
    duration evacuationStart {}; ///< Of the first availability zone, whose servers get no new requests.
    duration evacuationEnd {};
    duration outageStart {}; ///< Of the second availability zone, whose servers return as new ones with empty caches.
    duration outageEnd {};
    duration burstStart {};
    duration burstEnd {};
    double burstFactor = 1; ///< Of the rate of requests.
    duration restart {}; ///< Moment at which every third daemon restarts; 0 for never.

    /// Returns the end of what makes servers or daemons unavailable unplanned, and the time that a daemon has to learn of it.
    duration calmStart() const { return std::max(outageEnd, restart) + std::chrono::seconds { 3 }; }

    friend std::ostream& operator<<(std::ostream& out, const fleet_disruption& disruption) { return out << disruption.name; }
};

class simulated_fleet {
public:
    // The platform's bound on a calm day: in five seconds, at most 3 in 100 requests may reach a server that holds more than
    // twice the mean of its service and three requests.
    static constexpr double maxShareAboveBound = 0.03;
    static constexpr double capFactor = 2;
    static constexpr double capSlack = 3;

    explicit simulated_fleet(const fleet_load& load, const fleet_disruption& disruption = {}, std::uint64_t seed = 7)
        : m_load(load)
        , m_disruption(disruption)
        , m_random(seed)
        , m_running(static_cast<std::size_t>(load.servers))
    {
        for (int number = 0; number < load.servers; ++number)
            addServer(number, "s" + std::to_string(number));
        for (int number = 0; number < load.daemons; ++number) {
            m_balancers.push_back(std::make_unique<load_balancer<manual_clock>>(m_clock));
            m_balancers.back()->retain(m_list);
            if (load.isContended)
                m_balancers.back()->setContended();
            m_views.push_back(testFleet(load.daemons, number));
        }
    }

    /// Plays the load; returns the greatest share of requests above the bound in any calm window of five seconds.
    double play(duration length)
    {
        const time_point end = m_start + length;
        while (m_clock.now() < end) {
            std::exponential_distribution<double> gap { m_load.requestsPerSecond / m_load.clump * (isDuring(m_disruption.burstStart, m_disruption.burstEnd) ? m_disruption.burstFactor : 1) };
            const auto step = std::chrono::duration_cast<duration>(std::chrono::duration<double> { gap(m_random) });
            runEventsUntil(m_clock.now() + step);
            applyDisruption();
            sampleLoads();
            for (int request = 0; request < m_load.clump; ++request)
                sendRequest();
        }
        return worstWindow();
    }

    /// Returns the share of requests whose prompt a server read although another one held it, as it neither held nor copied it.
    double readAgainShare() const { return static_cast<double>(m_readAgain) / static_cast<double>(std::max<std::size_t>(m_sends.size(), 1)); }
    /// Returns the share of requests whose prompt was copied from another server.
    double copiedShare() const { return static_cast<double>(m_copied) / static_cast<double>(std::max<std::size_t>(m_sends.size(), 1)); }
    /// Returns the mean difference between the estimated and the true number of requests at a server that was chosen.
    double estimateError() const { return m_errorSum / static_cast<double>(std::max<std::size_t>(m_sends.size(), 1)); }
    /// Returns the mean over all seconds of the most requests that a server had, as a multiple of the mean of all servers.
    double busiestToMean() const { return m_busiestSamples == 0 ? 0 : m_busiestSum / m_busiestSamples; }

private:
    static constexpr auto firstSample = std::chrono::seconds { 3 };
    static constexpr auto sampleInterval = std::chrono::seconds { 1 };
    static constexpr auto reuseWindow = std::chrono::seconds { 10 }; // As the platform's.
    static constexpr std::size_t maxReportsPerRound = 280; // As in hint_exchange.h.
    static constexpr auto hintInterval = std::chrono::milliseconds { 250 }; // Interval of the daemon's refresh task.
    static constexpr std::size_t peersPerRound = 6; // As in hint_exchange_options.
    static constexpr std::size_t maxLoadsPerRound = 80; // As in hint_codec.h.
    static constexpr int zones = 4;
    static constexpr double coldRequestsPerSecond = 10;
    static constexpr auto coldTime = std::chrono::seconds { 3 };

    struct event {
        enum class kind { Report,
            End };
        kind what = kind::End;
        std::size_t daemon = 0;
        int incarnation = 0; ///< Of the daemon.
        server_id server;
        duration held {};
        std::uint64_t affinity = 0;
    };

    struct send {
        time_point at;
        bool isAboveBound = false;
    };

    bool isDuring(duration begin, duration end) const { return m_clock.now() >= m_start + begin && m_clock.now() < m_start + end; }

    static std::string zoneOf(int server) { return "z" + std::to_string(server % zones); }

    void sampleLoads()
    {
        // Few requests run in the first seconds.
        if (m_clock.now() < std::max(m_nextSample, m_start + firstSample) || m_total == 0)
            return;
        m_nextSample = m_clock.now() + sampleInterval;
        m_busiestSum += *std::max_element(m_running.begin(), m_running.end()) * static_cast<double>(m_running.size()) / static_cast<double>(m_total);
        ++m_busiestSamples;
    }

    /// Records which servers hold the prompt, and whether it was read again.
    void recordPrompt(std::uint64_t prompt, const chosen_server& chosen)
    {
        std::map<server_id, time_point>& holders = m_holders[prompt];
        std::erase_if(holders, [&](const auto& entry) { return m_clock.now() - entry.second > reuseWindow; });
        const bool isHeldElsewhere = !holders.empty() && !holders.contains(chosen.server.id);
        const bool isCopied = std::any_of(holders.begin(), holders.end(), [&](const auto& entry) { return entry.first.value() + ":1" == chosen.cacheSource; });
        m_readAgain += isHeldElsewhere && !isCopied ? 1 : 0;
        m_copied += isHeldElsewhere && isCopied ? 1 : 0;
        m_errorSum += std::abs(chosen.basis.load - m_running[indexOf(chosen.server.id)]);
        holders[chosen.server.id] = m_clock.now();
    }

    void addServer(int number, const std::string& name, time_point coldUntil = {})
    {
        listed_server server = testServer(number, zoneOf(number));
        server.id = server_id { name };
        server.address = name + ":1";
        server.coldUntil = coldUntil;
        server.listedAt = m_clock.now();
        m_list.servers.emplace(server.id, server);
    }

    void applyDisruption()
    {
        const bool isEvacuated = isDuring(m_disruption.evacuationStart, m_disruption.evacuationEnd);
        m_list.zonesOutOfService = isEvacuated ? std::set<zone_id> { zone_id { zoneOf(0) } } : std::set<zone_id> {};
        const bool isOut = isDuring(m_disruption.outageStart, m_disruption.outageEnd);
        if (std::exchange(m_isOut, isOut) != isOut)
            isOut ? endServers() : returnServers();
        if (m_disruption.restart > duration::zero() && m_clock.now() >= m_start + m_disruption.restart && !std::exchange(m_hasRestarted, true))
            restartDaemons();
    }

    void endServers()
    {
        std::erase_if(m_list.servers, [](const auto& entry) { return entry.second.zone == zone_id { zoneOf(1) }; });
        for (int number = 1; number < m_load.servers; number += zones)
            m_running[static_cast<std::size_t>(number)] = 0;
        std::erase_if(m_events, [this](const auto& entry) {
            const event& next = entry.second;
            if (m_list.servers.contains(next.server))
                return false;
            if (next.what == event::kind::End && next.incarnation == m_incarnations[next.daemon])
                m_balancers[next.daemon]->finishRequest(next.server, server_outcome::Unreachable);
            m_total -= next.what == event::kind::End ? 1 : 0;
            return true;
        });
        retainServers();
    }

    void returnServers()
    {
        for (int number = 1; number < m_load.servers; number += zones)
            addServer(number, "s" + std::to_string(number) + "-returned", m_clock.now() + coldTime);
        retainServers();
    }

    void retainServers()
    {
        for (const auto& balancer : m_balancers)
            balancer->retain(m_list);
    }

    void restartDaemons()
    {
        for (std::size_t number = 0; number < m_balancers.size(); number += 3) {
            m_balancers[number] = std::make_unique<load_balancer<manual_clock>>(m_clock);
            m_balancers[number]->retain(m_list);
            ++m_incarnations[number];
        }
    }

    void runEventsUntil(time_point until)
    {
        while (true) {
            const bool hintsAreDue = m_nextHints <= until && (m_events.empty() || m_nextHints <= m_events.begin()->first);
            if (hintsAreDue) {
                m_clock.advance(std::max(m_nextHints - m_clock.now(), duration { 0 }));
                exchangeHints(m_nextDaemon);
                m_nextDaemon = (m_nextDaemon + 1) % m_balancers.size();
                m_nextHints += std::chrono::duration_cast<duration>(hintInterval) / m_load.daemons;
                continue;
            }
            if (m_events.empty() || m_events.begin()->first > until)
                break;
            const auto [at, next] = *m_events.begin();
            m_events.erase(m_events.begin());
            m_clock.advance(std::max(at - m_clock.now(), duration { 0 }));
            handle(next);
        }
        m_clock.advance(std::max(until - m_clock.now(), duration { 0 }));
    }

    // Callers of a daemon that has restarted have lost their requests, but the servers run them to their ends.
    void handle(const event& next)
    {
        int& running = m_running[indexOf(next.server)];
        const bool isKnown = next.incarnation == m_incarnations[next.daemon];
        if (next.what == event::kind::Report) {
            if (isKnown) {
                m_balancers[next.daemon]->recordLoadReport(next.server, { .running = running, .slots = 64 });
                m_balancers[next.daemon]->recordPromptRead(next.server, next.affinity);
            }
            return;
        }
        --running;
        --m_total;
        if (isKnown)
            m_balancers[next.daemon]->finishRequest(next.server, server_outcome::Served, next.held);
    }

    void exchangeHints(std::size_t sender)
    {
        std::vector<shared_load> loads = m_balancers[sender]->takeLoadUpdates();
        loads.resize(std::min(loads.size(), maxLoadsPerRound));
        const std::vector<prompt_holder> holders = m_balancers[sender]->takePromptUpdates();
        const std::vector<prompt_report> reports = m_balancers[sender]->takePromptReports(maxReportsPerRound);
        for (std::size_t count = 0; count < peersPerRound; ++count) {
            const std::size_t peer = below(m_balancers.size());
            if (peer == sender)
                continue;
            m_balancers[peer]->recordPeerLoads(loads, m_balancers.size() > peersPerRound + 1);
            m_balancers[peer]->mergePromptUpdates(holders);
            m_balancers[peer]->mergePromptReports(m_list, reports);
        }
    }

    void sendRequest()
    {
        std::uniform_real_distribution<double> share;
        const std::uint64_t prompt = share(m_random) < m_load.hotShare ? 1 : below(static_cast<std::size_t>(m_load.prompts)) + 1;
        const std::size_t daemon = below(m_balancers.size());
        const std::uint64_t affinity = prompt * 0x9e3779b97f4a7c15U;
        const auto chosen = m_balancers[daemon]->startRequest(m_list, { .service = service_id { "model" }, .affinity = affinity, .tieBreak = m_random(), .zone = zone_id { zoneOf(static_cast<int>(daemon)) }, .coldRequestsPerSecond = coldRequestsPerSecond, .fleet = &m_views[daemon] });
        if (!chosen)
            return;
        recordPrompt(prompt, *chosen);
        int& running = m_running[indexOf(chosen->server.id)];
        const double mean = static_cast<double>(m_total) / m_load.servers;
        m_sends.push_back({ m_clock.now(), running > capFactor * mean + capSlack });
        const bool isShort = share(m_random) < m_load.shortShare;
        const double meanSeconds = m_load.meanSeconds * (isShort ? 0.1 : 1) * (1 + m_load.slowdownPerRequest * running);
        ++running;
        ++m_total;
        std::lognormal_distribution<double> length { std::log(meanSeconds) - 0.125, 0.5 };
        const auto lasts = std::chrono::duration_cast<duration>(std::chrono::duration<double> { length(m_random) });
        const int incarnation = m_incarnations[daemon];
        m_events.emplace(m_clock.now() + std::min<duration>(m_load.firstTokenDelay, lasts), event { .what = event::kind::Report, .daemon = daemon, .incarnation = incarnation, .server = chosen->server.id, .affinity = affinity });
        m_events.emplace(m_clock.now() + lasts, event { event::kind::End, daemon, incarnation, chosen->server.id, lasts });
    }

    double worstWindow() const
    {
        double worst = 0;
        std::size_t first = 0;
        std::size_t above = 0;
        const time_point calmStart = m_start + m_disruption.calmStart();
        for (std::size_t last = 0; last < m_sends.size(); ++last) {
            above += m_sends[last].isAboveBound ? 1 : 0;
            for (; m_sends[last].at - m_sends[first].at > windowLength; ++first)
                above -= m_sends[first].isAboveBound ? 1 : 0;
            if (m_sends[last].at - m_sends.front().at > windowLength && m_sends[first].at >= calmStart)
                worst = std::max(worst, static_cast<double>(above) / static_cast<double>(last - first + 1));
        }
        return worst;
    }

    std::size_t below(std::size_t bound) { return std::uniform_int_distribution<std::size_t> { 0, bound - 1 }(m_random); }
    static std::size_t indexOf(const server_id& server) { return static_cast<std::size_t>(std::stoul(server.value().substr(1))); }

    static constexpr auto windowLength = std::chrono::seconds { 5 };

    fleet_load m_load;
    fleet_disruption m_disruption;
    manual_clock m_clock;
    time_point m_start { m_clock.now() };
    std::mt19937_64 m_random;
    server_list m_list;
    std::vector<std::unique_ptr<load_balancer<manual_clock>>> m_balancers;
    std::vector<fleet_view> m_views;
    std::vector<int> m_incarnations = std::vector<int>(static_cast<std::size_t>(m_load.daemons)); ///< By the daemon's number.
    std::multimap<time_point, event> m_events;
    time_point m_nextHints { m_clock.now() };
    std::size_t m_nextDaemon = 0;
    std::vector<int> m_running; ///< By the server's number.
    long m_total = 0;
    std::map<std::uint64_t, std::map<server_id, time_point>> m_holders; ///< When each server last got each prompt.
    long m_readAgain = 0;
    long m_copied = 0;
    double m_errorSum = 0;
    time_point m_nextSample {};
    double m_busiestSum = 0;
    int m_busiestSamples = 0;
    bool m_isOut = false;
    bool m_hasRestarted = false;
    std::deque<send> m_sends;
};

} // namespace radishflow
