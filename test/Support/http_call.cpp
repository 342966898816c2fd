// Implements httpCall and httpStream over POCO, with a connection for each call.
#include "http_call.h"

#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <istream>
#include <ostream>

namespace radishflow {

using steady = std::chrono::steady_clock;
using body_reader = std::function<void(std::istream&, const Poco::Net::HTTPResponse&, http_call_reply&)>;

static Poco::Net::StreamSocket connectTo(const Poco::URI& url, const Poco::Timespan& timeout)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress { url.getHost(), url.getPort() }, timeout);
    // A session that is created from a socket doesn't apply its own timeouts to the socket.
    socket.setSendTimeout(timeout);
    socket.setReceiveTimeout(timeout);
    socket.setNoDelay(true);
    return socket;
}

static Poco::Net::HTTPRequest createHead(const http_call_request& request, const Poco::URI& url)
{
    Poco::Net::HTTPRequest head { request.method, url.getPathEtc().empty() ? "/" : url.getPathEtc(), "HTTP/1.1" };
    head.setHost(url.getHost(), url.getPort());
    head.setKeepAlive(false);
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    for (const auto& [name, value] : request.headers)
        head.set(name, value);
    return head;
}

static http_call_reply exchange(const http_call_request& request, const body_reader& readBody)
{
    http_call_reply reply;
    try {
        const Poco::URI url { request.url };
        const Poco::Timespan timeout = toTimespan(request.timeout);
        Poco::Net::HTTPClientSession session { connectTo(url, timeout) };
        reply.isConnected = true;
        Poco::Net::HTTPRequest head = createHead(request, url);
        session.sendRequest(head) << request.body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream& stream = session.receiveResponse(response);
        reply.status = static_cast<int>(response.getStatus());
        for (const auto& [name, value] : response)
            reply.headers[Poco::toLower(name)] = value;
        readBody(stream, response, reply);
        // A network error only ends the stream; the session records the exception.
        if (const Poco::Exception* error = session.networkException())
            reply.error = error->displayText();
    } catch (const Poco::Exception& error) {
        reply.error = error.displayText();
    } catch (const std::exception& error) {
        reply.error = error.what();
    }
    return reply;
}

http_call_reply httpCall(const http_call_request& request)
{
    return exchange(request, [](std::istream& stream, const Poco::Net::HTTPResponse& response, http_call_reply& reply) {
        Poco::StreamCopier::copyToString(stream, reply.body);
        const Poco::Int64 contentLength = response.getContentLength64();
        if (contentLength >= 0 && static_cast<std::size_t>(contentLength) != reply.body.size())
            reply.error = "response body ended before the announced Content-Length";
    });
}

http_call_reply httpStream(const http_call_request& request, const std::function<bool(std::string_view)>& onLine)
{
    const auto deadline = steady::now() + request.total;
    return exchange(request, [&](std::istream& stream, const Poco::Net::HTTPResponse&, http_call_reply& reply) {
        std::string line;
        while (std::getline(stream, line)) {
            if (line.ends_with('\r'))
                line.pop_back();
            if (!onLine(line))
                return;
            if (steady::now() < deadline)
                continue;
            reply.error = "stream exceeded its time limit of " + std::to_string(request.total.count()) + " ms";
            return;
        }
    });
}

} // namespace radishflow
