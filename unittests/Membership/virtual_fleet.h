// Declares virtual_fleet, which runs membership tables in virtual time over a simulated network with delay, loss and
// partitions.
#pragma once

#include "radishflow/Membership/membership_table.h"
#include "radishflow/Support/manual_clock.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace radishflow {

struct virtual_fleet_options {
    std::size_t daemons = 7;
    std::size_t regions = 1;
    std::size_t zonesPerRegion = 3;
    std::uint64_t randomSeed = 1;
    double loss = 0; ///< Share of datagrams that are lost.
    double duplication = 0; ///< Share of datagrams that are delivered twice.
    duration minDelay = std::chrono::microseconds { 500 };
    duration maxDelay = std::chrono::milliseconds { 3 };
    duration crossRegionDelay = std::chrono::milliseconds { 40 };
    duration tickInterval = std::chrono::milliseconds { 50 };
    std::size_t seeds = 3; ///< Each daemon gets the addresses of the first `seeds` daemons as seeds.
    membership_options base; ///< Timeouts, limits and test switches of all daemons.
};

/// Daemons are numbered from 0. Not thread-safe.
class virtual_fleet {
public:
    using table_type = membership_table<manual_clock, std::mt19937_64>;

    explicit virtual_fleet(virtual_fleet_options options)
        : m_options(std::move(options))
        , m_random(m_options.randomSeed)
    {
        for (std::size_t i = 0; i < m_options.daemons; ++i) {
            m_nodes.push_back({});
            start(i);
        }
    }

    /// Returns whether datagrams from a sender to a receiver are lost; if empty, all are delivered.
    std::function<bool(std::size_t from, std::size_t to)> isDropped;
    /// Called for each datagram sent.
    std::function<void(std::size_t from, std::size_t to, const gossip_message&)> onSend;
    /// Wraps each tick (without message) and each receipt, for measurements; must call the action.
    std::function<void(std::size_t daemon, const gossip_message*, const std::function<void()>& action)> wrapAction;
    /// Called after each simulated millisecond.
    std::function<void()> onStep;

    table_type& table(std::size_t i) { return *m_nodes[i].table; }
    const manual_clock& clock() const { return m_clock; }
    std::size_t size() const { return m_nodes.size(); }
    std::size_t regionOf(std::size_t i) const { return i % m_options.regions; }
    static daemon_id idOf(std::size_t i) { return daemon_id { "d" + std::to_string(i) }; }
    bool isRunning(std::size_t i) const { return m_nodes[i].table && !m_nodes[i].isPaused; }

    /// Starts a daemon, or restarts it with a higher incarnation.
    void start(std::size_t i)
    {
        start(i, incarnation_number { 1000 + static_cast<std::uint64_t>(m_clock.now().time_since_epoch() / std::chrono::milliseconds { 1 }) });
    }

    void start(std::size_t i, incarnation_number incarnation)
    {
        node& started = m_nodes[i];
        membership_options options = m_options.base;
        const std::size_t zone = i / m_options.regions % m_options.zonesPerRegion;
        options.id = idOf(i);
        options.incarnation = incarnation;
        options.address = addressOf(i);
        options.http = "10.0.0.1:" + std::to_string(30000 + i);
        options.region = region_id { "r" + std::to_string(regionOf(i)) };
        options.zone = zone_id { "r" + std::to_string(regionOf(i)) + "z" + std::to_string(zone) };
        started.random = std::make_unique<std::mt19937_64>(m_random());
        started.table = std::make_unique<table_type>(options, m_clock, *started.random);
        started.isPaused = false;
        started.nextTick = m_clock.now() + m_options.tickInterval * static_cast<std::int64_t>(m_random() % 100) / 100;
        std::vector<seed_peer> seeds;
        for (std::size_t seed = 0; seed < m_options.seeds && seed < m_options.daemons; ++seed)
            seeds.push_back({ .address = addressOf(seed) });
        started.table->seed(seeds);
    }

    void kill(std::size_t i)
    {
        m_nodes[i].table.reset();
        m_nodes[i].isPaused = false;
    }

    void pause(std::size_t i) { m_nodes[i].isPaused = true; }

    /// Resumes a paused daemon. Datagrams in its socket buffer are delivered first, unless the whole host was suspended.
    void resume(std::size_t i, bool wasHostSuspended = false)
    {
        m_nodes[i].isPaused = false;
        for (const delivery& waiting : std::exchange(m_nodes[i].buffer, {})) {
            if (!wasHostSuspended)
                deliver(waiting);
        }
    }

    void leave(std::size_t i) { sendAll(i, table(i).leave()); }

    void run(duration length)
    {
        const time_point end = m_clock.now() + length;
        while (m_clock.now() < end) {
            m_clock.advance(std::chrono::milliseconds { 1 });
            step();
            if (onStep)
                onStep();
        }
    }

    /// Runs until the condition holds or `limit` is reached; returns the virtual time that passed.
    duration runUntil(const std::function<bool()>& condition, duration limit)
    {
        const time_point start = m_clock.now();
        while (!condition() && m_clock.now() - start < limit)
            run(std::chrono::milliseconds { 50 });
        return m_clock.now() - start;
    }

    /// Returns daemon `of` in the view of daemon `viewer`; state Left and an empty id if it is unknown.
    member view(std::size_t viewer, std::size_t of)
    {
        return table(viewer).memberOf(idOf(of)).value_or(member { .state = member_state::Left });
    }

    /// Returns whether every running daemon other than `of` sees `of` in the given state.
    bool allSee(std::size_t of, member_state state)
    {
        for (std::size_t viewer = 0; viewer < size(); ++viewer) {
            if (viewer != of && isRunning(viewer) && view(viewer, of).state != state)
                return false;
        }
        return true;
    }

    /// Returns whether all running daemons see exactly the running daemons, all of them alive.
    bool hasConverged()
    {
        std::size_t running = 0;
        for (std::size_t i = 0; i < size(); ++i)
            running += isRunning(i) ? 1 : 0;
        for (std::size_t i = 0; i < size(); ++i) {
            if (isRunning(i) && (table(i).liveCount() != running || countOf(i, member_state::Alive) != running))
                return false;
        }
        return true;
    }

    /// Returns the number of members in a state in the view of one daemon.
    std::size_t countOf(std::size_t viewer, member_state state)
    {
        std::size_t count = 0;
        for (const member& seen : table(viewer).members())
            count += seen.state == state ? 1 : 0;
        return count;
    }

    /// Returns the sum of a counter over all daemons that were not killed.
    std::uint64_t sumOf(std::uint64_t membership_counters::*counter)
    {
        std::uint64_t sum = 0;
        for (const node& peer : m_nodes)
            sum += peer.table ? peer.table->counters().*counter : 0;
        return sum;
    }

private:
    struct delivery {
        std::size_t from = 0;
        std::size_t to = 0;
        gossip_message message;
    };
    struct node {
        std::unique_ptr<std::mt19937_64> random;
        std::unique_ptr<table_type> table;
        bool isPaused = false;
        time_point nextTick {};
        std::vector<delivery> buffer;
    };

    static constexpr std::size_t maxBufferedDatagrams = 200;

    static peer_address addressOf(std::size_t i) { return peer_address { "10.0.0.1:" + std::to_string(10000 + i) }; }

    static std::size_t numberOf(const peer_address& address)
    {
        return static_cast<std::size_t>(std::stoul(address.value().substr(address.value().rfind(':') + 1))) - 10000;
    }

    void step()
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_clock.now()) {
            const delivery due = std::move(m_inFlight.begin()->second);
            m_inFlight.erase(m_inFlight.begin());
            deliver(due);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!isRunning(i) || m_clock.now() < m_nodes[i].nextTick)
                continue;
            m_nodes[i].nextTick = m_clock.now() + m_options.tickInterval;
            perform(i, nullptr, [&] { return table(i).tick(); });
        }
    }

    void deliver(const delivery& due)
    {
        node& receiver = m_nodes[due.to];
        if (!receiver.table)
            return;
        if (receiver.isPaused) {
            if (receiver.buffer.size() < maxBufferedDatagrams)
                receiver.buffer.push_back(due);
            return;
        }
        perform(due.to, &due.message, [&] { return receiver.table->receive(addressOf(due.from), due.message); });
    }

    template <typename Action>
    void perform(std::size_t daemon, const gossip_message* message, Action&& action)
    {
        std::vector<outgoing_message> out;
        if (wrapAction)
            wrapAction(daemon, message, [&] { out = action(); });
        else
            out = action();
        sendAll(daemon, out);
    }

    bool drawBernoulli(double probability) { return probability > 0 && std::bernoulli_distribution { probability }(m_random); }

    void sendAll(std::size_t from, const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& outgoing : messages) {
            const std::size_t to = numberOf(outgoing.to);
            if (onSend)
                onSend(from, to, outgoing.message);
            if (to >= m_nodes.size() || (isDropped && isDropped(from, to)) || drawBernoulli(m_options.loss))
                continue;
            const int copies = drawBernoulli(m_options.duplication) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                m_inFlight.emplace(m_clock.now() + delay(from, to), delivery { .from = from, .to = to, .message = outgoing.message });
        }
    }

    duration delay(std::size_t from, std::size_t to)
    {
        std::uniform_int_distribution<std::int64_t> spread(m_options.minDelay.count(), m_options.maxDelay.count());
        const duration base { spread(m_random) };
        return regionOf(from) == regionOf(to) ? base : base + m_options.crossRegionDelay;
    }

    virtual_fleet_options m_options;
    std::mt19937_64 m_random;
    manual_clock m_clock;
    std::vector<node> m_nodes;
    std::multimap<time_point, delivery> m_inFlight;
};

} // namespace radishflow
