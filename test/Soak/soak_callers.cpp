// Implements the callers of a soak.
#include "soak_callers.h"

#include "caller_connection.h"
#include "test_request.h"

#include <spdlog/fmt/fmt.h>

#include <random>

namespace radishflow {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// The platform's addr_reuse_s.
static constexpr std::chrono::seconds addressReuse { 2 };
static constexpr milliseconds lookUpBound { 300 };
static constexpr milliseconds pause { 20 }; ///< After a call, so that a few callers don't fill the machine.
static constexpr milliseconds callBound { 6000 };

class soak_callers::caller {
public:
    caller(soak_callers& owner, int number)
        : m_owner(owner)
        , m_number(number)
        , m_random(owner.m_options.seed * 1000 + static_cast<std::uint64_t>(number))
    {
    }

    void run()
    {
        while (!m_owner.m_isStopping) {
            callOnce();
            std::this_thread::sleep_for(pause);
        }
    }

private:
    int below(int bound) { return std::uniform_int_distribution<int> { 0, bound - 1 }(m_random); }

    void lookUp()
    {
        if (!m_addresses.empty() && steady::now() - m_lookedUpAt < addressReuse)
            return;
        const std::vector<std::string> found = m_owner.m_fleet.lookUp(below(m_owner.m_fleet.daemons()), lookUpBound);
        if (found.empty())
            return; // That daemon gave no answer: what is known stays in use, and the next call asks another one.
        m_addresses = found;
        m_lookedUpAt = steady::now();
        m_daemon = -1;
    }

    void chooseDaemon()
    {
        if (m_daemon >= 0 || m_addresses.empty())
            return;
        const std::string& address = m_addresses[static_cast<std::size_t>(below(static_cast<int>(m_addresses.size())))];
        for (int daemon = 0; daemon < m_owner.m_fleet.daemons(); ++daemon) {
            if (m_owner.m_fleet.callerAddress(daemon) == address)
                m_daemon = daemon;
        }
    }

    milliseconds sinceBegin() const { return std::chrono::duration_cast<milliseconds>(steady::now() - m_owner.m_options.began); }

    soak_call draw()
    {
        static constexpr soak_call_kind kinds[] { soak_call_kind::Read, soak_call_kind::Read, soak_call_kind::Order, soak_call_kind::Order, soak_call_kind::Stream, soak_call_kind::ResumableStream };
        const int current = m_owner.m_keyNumber;
        constexpr int oldKeyOneIn = 4;
        return {
            .id = fmt::format("c{}-{}", m_number, ++m_count),
            .kind = kinds[below(static_cast<int>(std::size(kinds)))],
            .daemon = m_daemon,
            .keyNumber = current > 1 && below(oldKeyOneIn) == 0 ? current - 1 : current,
            .begin = sinceBegin(),
        };
    }

    static std::string textOf(const soak_call& call)
    {
        static constexpr const char* starts[] { "GET /read", "POST /order", "GET /stream", "GET /resumable-stream" };
        return writeRequestHead(fmt::format("{}/x HTTP/1.1", starts[static_cast<int>(call.kind)]), { .id = call.id, .key = soak_callers::keyOf(call.keyNumber), .timeLeft = std::chrono::seconds { 5 } });
    }

    void callOnce()
    {
        lookUp();
        chooseDaemon();
        if (m_daemon < 0)
            return;
        soak_call call = draw();
        if (m_connection.open("127.0.0.1:" + std::to_string(m_owner.m_fleet.callerLink(m_daemon).port())))
            call.answer = m_connection.run(textOf(call), callBound);
        call.end = sinceBegin();
        if (call.answer.status == 0)
            m_daemon = -1;
        const std::lock_guard lock { m_owner.m_mutex };
        m_owner.m_calls.push_back(std::move(call));
    }

    soak_callers& m_owner;
    int m_number;
    std::mt19937_64 m_random;
    int m_count = 0;
    int m_daemon = -1; ///< Negative when one has to be chosen.
    std::vector<std::string> m_addresses;
    steady::time_point m_lookedUpAt;
    caller_connection m_connection;
};

soak_callers::soak_callers(relay_fleet& fleet, const soak_callers_options& options)
    : m_fleet(fleet)
    , m_options(options)
{
    m_threads.reserve(static_cast<std::size_t>(options.callers));
    for (int number = 0; number < options.callers; ++number)
        m_threads.emplace_back([this, number] { caller { *this, number }.run(); });
}

soak_callers::~soak_callers()
{
    stop();
}

std::string soak_callers::keyOf(int number)
{
    return number == 1 ? relay_fleet::key : fmt::format("{}-{}", relay_fleet::key, number);
}

void soak_callers::stop()
{
    m_isStopping = true;
    for (std::thread& each : m_threads) {
        if (each.joinable())
            each.join();
    }
}

std::vector<soak_call> soak_callers::calls() const
{
    const std::lock_guard lock { m_mutex };
    return m_calls;
}

} // namespace radishflow
