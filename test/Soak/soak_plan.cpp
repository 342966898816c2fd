// Implements the drawing of a soak's disturbances.
#include "soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace radishflow {

using std::chrono::milliseconds;

namespace {

    struct fault_traits {
        std::string_view name;
        soak_part part;
        int shortest; ///< Milliseconds.
        int longest;
    };

    // In the order of soak_fault.
    constexpr std::array<fault_traits, soakFaultCount> traits { {
        { "pause daemon", soak_part::Daemon, 200, 4000 },
        { "kill daemon", soak_part::Daemon, 100, 3000 },
        { "stop daemon", soak_part::Daemon, 100, 2000 },
        { "cut store", soak_part::StoreLink, 300, 5000 },
        { "silence store", soak_part::StoreLink, 300, 5000 },
        { "deafen store", soak_part::StoreLink, 300, 5000 },
        { "mute store", soak_part::StoreLink, 300, 5000 },
        { "delay store", soak_part::StoreLink, 300, 3000 },
        { "store busy", soak_part::Store, 300, 4000 },
        { "store silent", soak_part::Store, 300, 4000 },
        { "store loses replies", soak_part::Store, 300, 4000 },
        { "store gone", soak_part::Store, 300, 4000 },
        { "store forgets", soak_part::Store, 1, 1 },
        { "server fails", soak_part::Server, 300, 4000 },
        { "server cuts", soak_part::Server, 300, 4000 },
        { "server crashes", soak_part::Server, 100, 1000 },
        { "server hangs", soak_part::Server, 300, 2000 },
        { "server refuses", soak_part::Server, 300, 4000 },
        { "silence server", soak_part::ServerLink, 300, 3000 },
        { "reset server", soak_part::ServerLink, 300, 4000 },
        { "delay server", soak_part::ServerLink, 300, 3000 },
        { "reset callers", soak_part::CallerLink, 300, 3000 },
        { "delay callers", soak_part::CallerLink, 300, 3000 },
        { "drain server", soak_part::List, 3000, 5000 },
        { "lapse server", soak_part::List, 300, 4000 },
        { "cool server", soak_part::List, 2000, 4000 },
        { "change key", soak_part::Configuration, 1, 1 },
        { "change configuration", soak_part::Configuration, 1, 1 },
    } };

    const fault_traits& traitsOf(soak_fault fault) { return traits.at(static_cast<std::size_t>(fault)); }

} // namespace

soak_part partOf(soak_fault fault)
{
    return traitsOf(fault).part;
}

std::string_view nameOf(soak_fault fault)
{
    return traitsOf(fault).name;
}

static bool isOfList(const soak_step& step)
{
    return partOf(step.fault) == soak_part::List;
}

static bool isOfStore(const soak_step& step)
{
    return partOf(step.fault) == soak_part::Store || partOf(step.fault) == soak_part::StoreLink;
}

// What the store says of a server is promised only to daemons that it reaches, so these two are kept apart.
static bool excludes(const soak_step& first, const soak_step& second)
{
    constexpr milliseconds apart { 1000 };
    if (first.at >= second.end() + apart || second.at >= first.end() + apart)
        return false;
    if ((isOfList(first) && isOfStore(second)) || (isOfStore(first) && isOfList(second)))
        return true;
    return partOf(first.fault) == partOf(second.fault) && first.target == second.target && partOf(first.fault) != soak_part::Configuration;
}

static int targetsOf(soak_part part, const soak_plan_options& options)
{
    switch (part) {
    case soak_part::Daemon:
    case soak_part::StoreLink:
    case soak_part::CallerLink:
        return options.daemons;
    case soak_part::Server:
    case soak_part::ServerLink:
    case soak_part::List:
        return options.servers;
    case soak_part::Store:
    case soak_part::Configuration:
        return 1;
    }
    return 1;
}

namespace {

    class plan_source {
    public:
        explicit plan_source(const soak_plan_options& options)
            : m_options(options)
            , m_random(options.seed)
        {
        }

        soak_step draw()
        {
            return drawOf(static_cast<soak_fault>(between(0, soakFaultCount - 1)), between(0, static_cast<int>(m_options.trouble.count()) - 1));
        }

        /// One in three comes as a series on several targets.
        bool beginsSeries() { return between(0, 2) == 0; }

        soak_step drawAfter(const soak_step& step) { return drawOf(step.fault, static_cast<int>(step.at.count()) + between(100, 800)); }

    private:
        int between(int least, int most) { return std::uniform_int_distribution<int> { least, most }(m_random); }

        soak_step drawOf(soak_fault fault, int at)
        {
            const fault_traits& kind = traitsOf(fault);
            return { .at = milliseconds { at }, .length = milliseconds { between(kind.shortest, kind.longest) }, .fault = fault, .target = between(0, targetsOf(kind.part, m_options) - 1) };
        }

        soak_plan_options m_options;
        std::mt19937_64 m_random;
    };

} // namespace

std::vector<soak_step> drawPlan(const soak_plan_options& options)
{
    std::vector<soak_step> plan;
    const auto addIfFree = [&](const soak_step& step) {
        const bool isFree = step.end() <= options.trouble && std::none_of(plan.begin(), plan.end(), [&](const soak_step& other) { return excludes(step, other); });
        if (isFree)
            plan.push_back(step);
        return isFree;
    };
    plan_source source { options };
    for (int drawn = 0; drawn < options.steps; ++drawn) {
        const soak_step first = source.draw();
        if (addIfFree(first) && source.beginsSeries())
            addIfFree(source.drawAfter(first));
    }
    std::sort(plan.begin(), plan.end(), [](const soak_step& left, const soak_step& right) { return left.at < right.at; });
    return plan;
}

} // namespace radishflow
