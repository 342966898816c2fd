// Implements fault_proxy as a relay with a control server beside it.
#include "radishflow/Emulator/fault_proxy.h"

#include "radishflow/Emulator/http_reply.h"
#include "radishflow/Emulator/http_server.h"

#include "proxy_json.h"
#include "tcp_relay.h"
#include "udp_relay.h"

#include <variant>

namespace radishflow {

static constexpr int controlThreads = 4;

struct fault_proxy::parts {
    parts(const listen_options& listen, const fault_proxy_options& options)
        : control(listen.control.empty() ? "127.0.0.1:0" : listen.control, controlThreads,
            [this](auto& request, auto& response) { std::visit([&](auto& chosen) { serve(chosen, request, response); }, relay); })
    {
        if (options.transport == proxy_transport::Udp)
            relay.emplace<udp_relay>(listen.address, options.target);
        else
            relay.emplace<tcp_relay>(listen.address, options.target);
    }

    static void serve(std::monostate, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response)
    {
        sendText(response, 503, "text/plain", "not started yet\n");
    }

    template <typename Relay>
    static void serve(Relay& relay, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        const std::string path = pathOf(request);
        if (path == "/control/record") {
            sendJson(response, 200, *encodeCounts(relay.counts()));
            return;
        }
        if (path == "/control/faults")
            relay.setRules(changedRules(relay.rules(), *parseObject(readBody(request))));
        const bool isKnown = path == "/control/faults" || path == "/healthz";
        sendText(response, isKnown ? 200 : 404, "text/plain", isKnown ? "ok\n" : "no such path\n");
    }

    std::variant<std::monostate, tcp_relay, udp_relay> relay;
    http_server control;
};

fault_proxy::fault_proxy(const listen_options& listen, const fault_proxy_options& options)
    : m_parts(std::make_unique<parts>(listen, options))
{
}

fault_proxy::~fault_proxy() = default;

std::uint16_t fault_proxy::port() const
{
    if (const auto* udp = std::get_if<udp_relay>(&m_parts->relay))
        return udp->port();
    return std::get<tcp_relay>(m_parts->relay).port();
}

std::uint16_t fault_proxy::controlPort() const
{
    return m_parts->control.port();
}

} // namespace radishflow
