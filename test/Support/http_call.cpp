// Implements the tests' callers over POCO, one connection each.
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
    // A session made from a socket never applies a timeout of its own to it.
    socket.setSendTimeout(timeout);
    socket.setReceiveTimeout(timeout);
    socket.setNoDelay(true);
    return socket;
}

static Poco::Net::HTTPRequest headOf(const http_call_request& request, const Poco::URI& url)
{
    Poco::Net::HTTPRequest head { request.method, url.getPathEtc().empty() ? "/" : url.getPathEtc(), "HTTP/1.1" };
    head.setHost(url.getHost(), url.getPort());
    head.setKeepAlive(false);
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    for (const auto& [name, value] : request.headers)
        head.set(name, value);
    return head;
}

static http_call_reply callWith(const http_call_request& request, const body_reader& readBody)
{
    http_call_reply reply;
    try {
        const Poco::URI url { request.url };
        const Poco::Timespan timeout = toTimespan(request.timeout);
        Poco::Net::HTTPClientSession session { connectTo(url, timeout) };
        reply.isConnected = true;
        Poco::Net::HTTPRequest head = headOf(request, url);
        session.sendRequest(head) << request.body << std::flush;
        Poco::Net::HTTPResponse answer;
        std::istream& stream = session.receiveResponse(answer);
        reply.status = static_cast<int>(answer.getStatus());
        for (const auto& [name, value] : answer)
            reply.headers[Poco::toLower(name)] = value;
        readBody(stream, answer, reply);
        // The stream only ends on an error; the session keeps it.
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
    return callWith(request, [](std::istream& stream, const Poco::Net::HTTPResponse& answer, http_call_reply& reply) {
        Poco::StreamCopier::copyToString(stream, reply.body);
        const Poco::Int64 announced = answer.getContentLength64();
        if (announced >= 0 && static_cast<std::size_t>(announced) != reply.body.size())
            reply.error = "the answer ended early";
    });
}

http_call_reply httpStream(const http_call_request& request, const std::function<bool(std::string_view)>& onLine)
{
    const auto end = steady::now() + request.total;
    return callWith(request, [&](std::istream& stream, const Poco::Net::HTTPResponse&, http_call_reply& reply) {
        std::string line;
        while (std::getline(stream, line)) {
            if (line.ends_with('\r'))
                line.pop_back();
            if (!onLine(line))
                return;
            if (steady::now() < end)
                continue;
            reply.error = "the stream took too long";
            return;
        }
    });
}

} // namespace radishflow
