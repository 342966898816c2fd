// Implements one HTTP request to the platform. The connection is made by hand before the request is sent:
// that alone tells a write of which nothing was sent from one whose outcome is not known.
#include "http_exchange.h"

#include "radishflow/Requests/response_stream.h"
#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <optional>
#include <ostream>

namespace radishflow {

static boost::leaf::error_id failWith(failure_code code, const platform_options& options,
    const platform_request& request, const std::string& detail)
{
    return fail({ .code = code, .step = request.step, .peer = options.address, .detail = detail });
}

static std::optional<Poco::Net::StreamSocket> connectTo(const platform_options& options, std::string& detail)
{
    const Poco::Timespan timeout = toTimespan(options.timeout);
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress { options.address }, timeout);
        socket.setSendTimeout(timeout);
        socket.setReceiveTimeout(timeout);
        socket.setNoDelay(true);
        return socket;
    } catch (const Poco::Exception& error) {
        detail = error.displayText();
        return std::nullopt;
    }
}

static platform_reply sendAndReceive(Poco::Net::HTTPClientSession& session, const platform_options& options,
    const platform_request& request)
{
    Poco::Net::HTTPRequest head { request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1 };
    head.setHost(options.address);
    head.setKeepAlive(false);
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    if (!request.contentType.empty())
        head.setContentType(request.contentType);
    if (request.onlyIfAbsent)
        head.set("If-None-Match", "*");
    session.sendRequest(head) << request.body << std::flush;

    response_stream response { session };
    platform_reply reply { .status = response.readHead().status, .body = {} };
    Poco::StreamCopier::copyToString(response.body(), reply.body);
    if (!response.isComplete())
        throw Poco::Net::MessageException("the answer ended early");
    return reply;
}

result<platform_reply> exchange(const platform_options& options, const platform_request& request)
{
    std::string detail;
    const std::optional<Poco::Net::StreamSocket> socket = connectTo(options, detail);
    if (!socket)
        return failWith(failure_code::Unreachable, options, request, detail);

    const bool isWrite = request.kind == effect::Write;
    try {
        Poco::Net::HTTPClientSession session { *socket };
        return sendAndReceive(session, options, request);
    } catch (const Poco::TimeoutException& error) {
        return failWith(isWrite ? failure_code::ReplyLost : failure_code::TimedOut, options, request, error.displayText());
    } catch (const Poco::Exception& error) {
        return failWith(isWrite ? failure_code::ReplyLost : failure_code::Broken, options, request, error.displayText());
    } catch (const std::exception& error) {
        return failWith(isWrite ? failure_code::ReplyLost : failure_code::Broken, options, request, error.what());
    }
}

boost::leaf::error_id failOnStatus(const platform_options& options, const platform_request& request,
    const platform_reply& reply)
{
    const std::string detail = "status " + std::to_string(reply.status);
    // A server error can come after the write took effect; a client error comes instead of it.
    if (reply.status >= 500 && request.kind == effect::Write)
        return failWith(failure_code::ReplyLost, options, request, detail);
    return failWith(reply.status == 404 ? failure_code::NotFound : failure_code::Refused, options, request, detail);
}

boost::leaf::error_id failOnContent(const platform_options& options, const platform_request& request,
    const std::string& detail)
{
    return failWith(request.kind == effect::Write ? failure_code::ReplyLost : failure_code::Broken, options, request, detail);
}

} // namespace radishflow
