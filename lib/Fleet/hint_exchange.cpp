// Implements the exchange of hints by UDP.
#include "radishflow/Fleet/hint_exchange.h"

#include "radishflow/Fleet/hint_codec.h"
#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <random>
#include <utility>

namespace radishflow {

// Bounds how long the destructor waits for the receiving thread.
static constexpr std::chrono::milliseconds receiveTimeout { 300 };
static constexpr std::size_t maxDatagramBytes = 2048;
// Bounds the traffic after a crash; more requests of one daemon rarely run at a server.
static constexpr std::size_t maxCrashesPerRound = 128;
static constexpr std::size_t maxPartsPerRound = 240;
static constexpr std::size_t maxLimitsPerRound = 120;

hint_exchange::hint_exchange(hint_exchange_options options)
    : m_options(std::move(options))
    , m_socket(Poco::Net::SocketAddress { m_options.address }, false)
{
    m_socket.setReceiveTimeout(toTimespan(receiveTimeout));
    m_thread = std::thread { [this] { receive(); } };
}

hint_exchange::~hint_exchange()
{
    m_isStopping = true;
    m_thread.join();
}

// Each crash of a server breaks all of its requests at once, so a round may have more crashes than fit into a datagram.
void hint_exchange::send(const server_hints& hints, const fleet_view& fleet)
{
    const std::size_t partEnd = std::min(hints.parts.size(), maxPartsPerRound);
    for (std::size_t index = 0; index < partEnd; index += maxPartHints) {
        const auto begin = hints.parts.begin() + static_cast<std::ptrdiff_t>(index);
        sendDatagram({ .parts = { begin, begin + static_cast<std::ptrdiff_t>(std::min(maxPartHints, partEnd - index)) } }, fleet);
    }
    const std::size_t limitEnd = std::min(hints.limits.size(), maxLimitsPerRound);
    for (std::size_t index = 0; index < limitEnd; index += maxLimitHints) {
        const auto begin = hints.limits.begin() + static_cast<std::ptrdiff_t>(index);
        sendDatagram({ .limits = { begin, begin + static_cast<std::ptrdiff_t>(std::min(maxLimitHints, limitEnd - index)) } }, fleet);
    }
    for (std::size_t index = 0; index < hints.promptReports.size(); index += maxPromptReports) {
        const auto begin = hints.promptReports.begin() + static_cast<std::ptrdiff_t>(index);
        sendDatagram({ .promptReports = { begin, begin + static_cast<std::ptrdiff_t>(std::min(maxPromptReports, hints.promptReports.size() - index)) } }, fleet);
    }
    for (std::size_t index = 0; index < hints.delays.size(); index += maxDelayHints) {
        const auto begin = hints.delays.begin() + static_cast<std::ptrdiff_t>(index);
        sendDatagram({ .delays = { begin, begin + static_cast<std::ptrdiff_t>(std::min(maxDelayHints, hints.delays.size() - index)) } }, fleet);
    }
    if (!hints.rolloutNotices.empty())
        sendDatagram({ .rolloutNotices = hints.rolloutNotices }, fleet);
    if (hints.loads.empty() && hints.crashes.empty() && hints.promptHolders.empty() && hints.askedServices.empty())
        return;
    const std::size_t first = std::min(hints.crashes.size(), maxCrashHints);
    sendDatagram({ .loads = hints.loads, .crashes = { hints.crashes.begin(), hints.crashes.begin() + static_cast<std::ptrdiff_t>(first) }, .promptHolders = hints.promptHolders, .contacts = hints.contacts, .askedServices = hints.askedServices }, fleet);
    const std::size_t end = std::min(hints.crashes.size(), maxCrashesPerRound);
    for (std::size_t index = first; index < end; index += maxCrashHints) {
        const auto begin = hints.crashes.begin() + static_cast<std::ptrdiff_t>(index);
        sendDatagram({ .crashes = { begin, begin + static_cast<std::ptrdiff_t>(std::min(maxCrashHints, end - index)) } }, fleet);
    }
}

// These are rare, and each daemon needs them soon.
static bool concernsAllDaemons(const server_hints& hints)
{
    return !hints.crashes.empty() || !hints.parts.empty() || std::any_of(hints.rolloutNotices.begin(), hints.rolloutNotices.end(), [](const rollout_notice& notice) { return notice.isUrgent; });
}

void hint_exchange::sendDatagram(const server_hints& hints, const fleet_view& fleet)
{
    static thread_local std::minstd_rand random { std::random_device {}() };
    std::vector<const fleet_daemon*> peers;
    peers.reserve(fleet.daemons.size());
    for (const fleet_daemon& daemon : fleet.daemons) {
        if (daemon.id != fleet.self)
            peers.push_back(&daemon);
    }
    std::vector<const fleet_daemon*> recipients;
    std::sample(peers.begin(), peers.end(), std::back_inserter(recipients), concernsAllDaemons(hints) ? peers.size() : m_options.peersPerRound, random);
    const std::string datagram = encodeHints(hints);
    for (const fleet_daemon* peer : recipients)
        sendBytes(datagram, peer->callerAddress.substr(0, peer->callerAddress.find(':')));
}

void hint_exchange::sendTo(const server_hints& hints, const std::string& host)
{
    sendBytes(encodeHints(hints), host);
}

void hint_exchange::sendBytes(const std::string& datagram, const std::string& host)
{
    const std::string port = m_options.address.substr(m_options.address.find(':'));
    try {
        m_socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), Poco::Net::SocketAddress { host + port });
    } catch (const Poco::Exception& error) {
        // Delivery is best effort: the next round sends newer hints.
        spdlog::debug("event=hint_not_sent peer={} error=\"{}\"", host, error.displayText());
    }
}

bool hint_exchange::reachesAll(const fleet_view& fleet) const
{
    return fleet.daemons.size() <= m_options.peersPerRound + 1;
}

void hint_exchange::receive()
{
    std::array<char, maxDatagramBytes> datagram;
    while (!m_isStopping) {
        try {
            Poco::Net::SocketAddress sender;
            const int count = m_socket.receiveFrom(datagram.data(), datagram.size(), sender);
            const auto hints = decodeHints({ datagram.data(), static_cast<std::size_t>(std::max(count, 0)) });
            if (hints)
                m_options.onReceive(*hints, sender.host().toString());
            else
                spdlog::debug("event=hint_not_read peer={} bytes={}", sender.toString(), count);
        } catch (const Poco::TimeoutException&) {
            continue;
        } catch (const Poco::Exception& error) {
            // An ICMP error in response to a datagram sent to a daemon that has ended. No more are sent to its host once the
            // gossip protocol has detected the failure.
            spdlog::debug("event=hint_not_received error=\"{}\"", error.displayText());
        }
    }
}

} // namespace radishflow
