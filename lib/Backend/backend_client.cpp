// Implements the client of backend servers.
#include "radishflow/Backend/backend_client.h"

#include "radishflow/Requests/response_stream.h"
#include "radishflow/Support/timespan.h"

#include "backend_exchange.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/StreamCopier.h>

namespace radishflow {

exchange_outcome backend_client::run(const request_submission& submission, const write_gate& gate, answer_buffer& answer) const
{
    return backend_exchange { m_options, submission, gate, answer }.run();
}

result<std::string> backend_client::readMetrics(const server_id& server) const
{
    return readPage(server, "/metrics");
}

static result<std::string> exchange(const server_id& server, Poco::Net::HTTPRequest request, const std::string& sent, const Poco::Timespan& timeout)
{
    const char* step = "exchange page";
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress { server.value() } };
        session.setTimeout(timeout);
        request.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        if (!sent.empty())
            request.setContentLength64(static_cast<Poco::Int64>(sent.size()));
        session.sendRequest(request) << sent << std::flush;
        response_stream response { session };
        const int status = response.readHead().status;
        std::string body;
        Poco::StreamCopier::copyToString(response.body(), body);
        if (status != 200)
            return fail({ .code = failure_code::Refused, .step = step, .peer = server.value(), .detail = request.getURI() + " answered " + std::to_string(status) });
        if (!response.isComplete())
            return fail({ .code = failure_code::Broken, .step = step, .peer = server.value(), .detail = request.getURI() + " broke off after " + std::to_string(body.size()) + " bytes" });
        return body;
    } catch (const Poco::Exception& error) {
        return fail({ .code = failure_code::Unreachable, .step = step, .peer = server.value(), .detail = error.displayText() });
    }
}

result<std::string> backend_client::readPage(const server_id& server, const std::string& path) const
{
    return exchange(server, Poco::Net::HTTPRequest { "GET", path }, "", toTimespan(m_options.connectTimeout));
}

result<void> backend_client::copyPrefix(const server_id& holder, const server_id& receiver, const std::string& prefix) const
{
    const Poco::Timespan timeout = toTimespan(m_options.copyTimeout);
    BOOST_LEAF_AUTO(cached, exchange(holder, Poco::Net::HTTPRequest { "POST", "/kv/export" }, R"({"prefix":")" + prefix + "\"}", timeout));
    BOOST_LEAF_CHECK(exchange(receiver, Poco::Net::HTTPRequest { "POST", "/kv/import?prefix=" + prefix }, cached, timeout));
    return {};
}

} // namespace radishflow
