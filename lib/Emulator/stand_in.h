// Declares stand_in, which puts a stand-in's core behind HTTP with the control calls that all of them have.
#pragma once

#include "radishflow/Emulator/http_reply.h"
#include "radishflow/Emulator/http_server.h"
#include "radishflow/Emulator/listen_options.h"

#include <concepts>
#include <memory>

namespace radishflow {

/// What answers the requests of one kind of stand-in; all calls come from many threads.
template <typename T>
concept stand_in_core = requires(T& core, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
    const Poco::JSON::Object& faults)
{
    core.serve(request, response);
    core.setFaults(faults);
    core.stop();
    {
        core.record()
        } -> std::same_as<Poco::JSON::Object::Ptr>;
    {
        T::asksToRefuse(faults)
        } -> std::same_as<bool>;
    {
        core.isRefusing()
        } -> std::same_as<bool>;
};

/// Serves one core on an address of its own, and its control on a second one if that is asked for.
template <stand_in_core Core>
class stand_in {
public:
    template <typename... Arguments>
    explicit stand_in(const listen_options& listen, Arguments&&... arguments)
        : m_core(std::forward<Arguments>(arguments)...)
        , m_server(listen.address, listen.threads, [this](auto& request, auto& response) { serve(request, response); })
    {
        if (listen.control.empty())
            return;
        m_control = std::make_unique<http_server>(listen.control, controlThreads,
            [this](auto& request, auto& response) { serve(request, response); });
    }

    ~stand_in() { m_core.stop(); }

    std::uint16_t port() const { return m_server.port(); }

    /// Port of the control address, or 0 when there is none.
    std::uint16_t controlPort() const { return m_control ? m_control->port() : 0; }

private:
    static constexpr int controlThreads = 4;

    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        const std::string path = pathOf(request);
        if (path == "/healthz")
            sendText(response, 200, "text/plain", "ok\n");
        else if (path == "/control/record")
            sendJson(response, 200, *m_core.record());
        else if (path == "/control/faults")
            setFaults(*parseObject(readBody(request)), response);
        else
            m_core.serve(request, response);
    }

    void setFaults(const Poco::JSON::Object& faults, Poco::Net::HTTPServerResponse& response)
    {
        // Without a second address nobody could take the refusal back.
        if (Core::asksToRefuse(faults) && !m_control) {
            sendText(response, 409, "text/plain", "refusing connections needs --control\n");
            return;
        }
        m_core.setFaults(faults);
        if (m_control)
            m_server.setRefusing(m_core.isRefusing());
        sendText(response, 200, "text/plain", "ok\n");
    }

    Core m_core;
    http_server m_server;
    std::unique_ptr<http_server> m_control;
};

} // namespace radishflow
