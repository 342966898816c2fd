// Implements drawPlan: draws faults at random times and drops those that must not overlap.
#include "soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace radishflow {

using std::chrono::milliseconds;

namespace {

    struct fault_traits {
        std::string_view name;
        soak_component component;
        int minLengthMs;
        int maxLengthMs;
    };

    // Indexed by soak_fault.
    constexpr std::array<fault_traits, soakFaultCount> traits { {
        { "pause daemon", soak_component::Daemon, 200, 4000 },
        { "kill daemon", soak_component::Daemon, 100, 3000 },
        { "stop daemon", soak_component::Daemon, 100, 2000 },
        { "cut store", soak_component::StoreLink, 300, 5000 },
        { "half-open store", soak_component::StoreLink, 300, 5000 },
        { "drop data to store", soak_component::StoreLink, 300, 5000 },
        { "drop data from store", soak_component::StoreLink, 300, 5000 },
        { "delay store", soak_component::StoreLink, 300, 3000 },
        { "store busy", soak_component::Store, 300, 4000 },
        { "store silent", soak_component::Store, 300, 4000 },
        { "store loses replies", soak_component::Store, 300, 4000 },
        { "store unreachable", soak_component::Store, 300, 4000 },
        { "store drops history", soak_component::Store, 1, 1 },
        { "server fails", soak_component::Server, 300, 4000 },
        { "server cuts", soak_component::Server, 300, 4000 },
        { "server crashes", soak_component::Server, 100, 1000 },
        { "server hangs", soak_component::Server, 300, 2000 },
        { "server refuses", soak_component::Server, 300, 4000 },
        { "half-open server", soak_component::ServerLink, 300, 3000 },
        { "reset server", soak_component::ServerLink, 300, 4000 },
        { "delay server", soak_component::ServerLink, 300, 3000 },
        { "reset callers", soak_component::CallerLink, 300, 3000 },
        { "delay callers", soak_component::CallerLink, 300, 3000 },
        { "drain server", soak_component::ServerEntry, 3000, 5000 },
        { "unlist server", soak_component::ServerEntry, 300, 4000 },
        { "list server as cold", soak_component::ServerEntry, 2000, 4000 },
        { "change key", soak_component::Configuration, 1, 1 },
        { "change configuration", soak_component::Configuration, 1, 1 },
    } };

    const fault_traits& traitsOf(soak_fault fault) { return traits.at(static_cast<std::size_t>(fault)); }

} // namespace

soak_component componentOf(soak_fault fault)
{
    return traitsOf(fault).component;
}

std::string_view nameOf(soak_fault fault)
{
    return traitsOf(fault).name;
}

static bool isListFault(const soak_step& step)
{
    return componentOf(step.fault) == soak_component::ServerEntry;
}

static bool isStoreFault(const soak_step& step)
{
    return componentOf(step.fault) == soak_component::Store || componentOf(step.fault) == soak_component::StoreLink;
}

// Faults of server entries and faults of the store are kept apart: a change of an entry is only guaranteed to reach daemons
// that are connected to the store.
static bool excludes(const soak_step& first, const soak_step& second)
{
    constexpr milliseconds minGap { 1000 };
    if (first.at >= second.end() + minGap || second.at >= first.end() + minGap)
        return false;
    if ((isListFault(first) && isStoreFault(second)) || (isStoreFault(first) && isListFault(second)))
        return true;
    return componentOf(first.fault) == componentOf(second.fault) && first.target == second.target && componentOf(first.fault) != soak_component::Configuration;
}

static int targetCountOf(soak_component component, const soak_plan_options& options)
{
    switch (component) {
    case soak_component::Daemon:
    case soak_component::StoreLink:
    case soak_component::CallerLink:
        return options.daemons;
    case soak_component::Server:
    case soak_component::ServerLink:
    case soak_component::ServerEntry:
        return options.servers;
    case soak_component::Store:
    case soak_component::Configuration:
        return 1;
    }
    return 1;
}

namespace {

    class step_generator {
    public:
        explicit step_generator(const soak_plan_options& options)
            : m_options(options)
            , m_random(options.seed)
        {
        }

        soak_step draw()
        {
            return drawFault(static_cast<soak_fault>(between(0, soakFaultCount - 1)), between(0, static_cast<int>(m_options.faultPeriod.count()) - 1));
        }

        /// Returns true for one in three faults: the same kind of fault is then drawn a second time, for any target.
        bool drawsFollowUp() { return between(0, 2) == 0; }

        soak_step drawFollowUp(const soak_step& step) { return drawFault(step.fault, static_cast<int>(step.at.count()) + between(100, 800)); }

    private:
        int between(int min, int max) { return std::uniform_int_distribution<int> { min, max }(m_random); }

        soak_step drawFault(soak_fault fault, int at)
        {
            const fault_traits& kind = traitsOf(fault);
            return { .at = milliseconds { at }, .length = milliseconds { between(kind.minLengthMs, kind.maxLengthMs) }, .fault = fault, .target = between(0, targetCountOf(kind.component, m_options) - 1) };
        }

        soak_plan_options m_options;
        std::mt19937_64 m_random;
    };

} // namespace

std::vector<soak_step> drawPlan(const soak_plan_options& options)
{
    std::vector<soak_step> plan;
    const auto addIfFree = [&](const soak_step& step) {
        const bool isFree = step.end() <= options.faultPeriod && std::none_of(plan.begin(), plan.end(), [&](const soak_step& other) { return excludes(step, other); });
        if (isFree)
            plan.push_back(step);
        return isFree;
    };
    step_generator source { options };
    for (int drawn = 0; drawn < options.steps; ++drawn) {
        const soak_step first = source.draw();
        if (addIfFree(first) && source.drawsFollowUp())
            addIfFree(source.drawFollowUp(first));
    }
    std::sort(plan.begin(), plan.end(), [](const soak_step& left, const soak_step& right) { return left.at < right.at; });
    return plan;
}

} // namespace radishflow
