// Implements the client of backend servers.
#include "radishflow/Backend/backend_client.h"

#include "backend_exchange.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
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

result<std::string> backend_client::readPage(const server_id& server, const std::string& path) const
{
    const char* step = "read page";
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress { server.value() } };
        session.setTimeout(Poco::Timespan { m_options.connectTimeout.count() * Poco::Timespan::MILLISECONDS });
        Poco::Net::HTTPRequest request { "GET", path, Poco::Net::HTTPMessage::HTTP_1_1 };
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        std::string body;
        Poco::StreamCopier::copyToString(in, body);
        if (response.getStatus() != 200)
            return fail({ .code = failure_code::Refused, .step = step, .peer = server.value(), .detail = path + " answered " + std::to_string(response.getStatus()) });
        return body;
    } catch (const Poco::Exception& error) {
        return fail({ .code = failure_code::Unreachable, .step = step, .peer = server.value(), .detail = error.displayText() });
    }
}

} // namespace radishflow
