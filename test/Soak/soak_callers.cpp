// Implements soak_callers: every caller draws its calls from a random sequence of its own.
#include "soak_callers.h"

#include "caller_connection.h"
#include "test_request.h"

#include <spdlog/fmt/fmt.h>

#include <random>

namespace radishflow {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// addr_reuse_s of the platform.
static constexpr std::chrono::seconds addressReuseTime { 2 };
static constexpr milliseconds lookupTimeout { 300 };
static constexpr milliseconds pause { 20 }; ///< Between two calls of a caller, so that the callers don't saturate the machine.
static constexpr milliseconds callTimeout { 6000 };

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
    int randomBelow(int limit) { return std::uniform_int_distribution<int> { 0, limit - 1 }(m_random); }

    void refreshAddresses()
    {
        if (!m_addresses.empty() && steady::now() - m_lastLookup < addressReuseTime)
            return;
        const std::vector<std::string> found = m_owner.m_fleet.lookUp(randomBelow(m_owner.m_fleet.daemons()), lookupTimeout);
        if (found.empty())
            return; // The lookup failed: keep the cached addresses; the next call looks them up again, at a random daemon.
        m_addresses = found;
        m_lastLookup = steady::now();
        m_daemon = -1;
    }

    void chooseDaemon()
    {
        if (m_daemon >= 0 || m_addresses.empty())
            return;
        const std::string& address = m_addresses[static_cast<std::size_t>(randomBelow(static_cast<int>(m_addresses.size())))];
        for (int daemon = 0; daemon < m_owner.m_fleet.daemons(); ++daemon) {
            if (m_owner.m_fleet.callerAddress(daemon) == address)
                m_daemon = daemon;
        }
    }

    milliseconds timeSinceStart() const { return std::chrono::duration_cast<milliseconds>(steady::now() - m_owner.m_options.began); }

    soak_call drawCall()
    {
        static constexpr soak_call_kind kinds[] { soak_call_kind::Read, soak_call_kind::Read, soak_call_kind::Order, soak_call_kind::Order, soak_call_kind::Stream, soak_call_kind::ResumableStream };
        const int current = m_owner.m_keyNumber;
        constexpr int previousKeyOneIn = 4;
        return {
            .id = fmt::format("c{}-{}", m_number, ++m_count),
            .kind = kinds[randomBelow(static_cast<int>(std::size(kinds)))],
            .daemon = m_daemon,
            .keyNumber = current > 1 && randomBelow(previousKeyOneIn) == 0 ? current - 1 : current,
            .begin = timeSinceStart(),
        };
    }

    static std::string writeRequest(const soak_call& call)
    {
        static constexpr const char* requestLines[] { "GET /read", "POST /order", "GET /stream", "GET /resumable-stream" };
        return writeRequestHead(fmt::format("{}/x HTTP/1.1", requestLines[static_cast<int>(call.kind)]), { .id = call.id, .key = soak_callers::keyOf(call.keyNumber), .timeLeft = std::chrono::seconds { 5 } });
    }

    void callOnce()
    {
        refreshAddresses();
        chooseDaemon();
        if (m_daemon < 0)
            return;
        soak_call call = drawCall();
        if (m_connection.open("127.0.0.1:" + std::to_string(m_owner.m_fleet.callerLink(m_daemon).port())))
            call.response = m_connection.run(writeRequest(call), callTimeout);
        call.end = timeSinceStart();
        if (call.response.status == 0)
            m_daemon = -1;
        const std::lock_guard lock { m_owner.m_mutex };
        m_owner.m_calls.push_back(std::move(call));
    }

    soak_callers& m_owner;
    int m_number;
    std::mt19937_64 m_random;
    int m_count = 0;
    int m_daemon = -1; ///< Negative when a daemon has to be chosen.
    std::vector<std::string> m_addresses;
    steady::time_point m_lastLookup;
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
    for (std::thread& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

std::vector<soak_call> soak_callers::calls() const
{
    const std::lock_guard lock { m_mutex };
    return m_calls;
}

} // namespace radishflow
