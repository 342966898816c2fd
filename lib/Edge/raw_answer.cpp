// Implements the answers that are sent where no request could be read.
#include "raw_answer.h"

#include "radishflow/Edge/problem_details.h"
#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <sstream>

namespace radishflow {

std::string rawAnswer(const refusal& reason)
{
    const std::string body = problemDetails(reason, request_id {});
    Poco::Net::HTTPResponse head { Poco::Net::HTTPMessage::HTTP_1_1, static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reason.status) };
    head.setContentType("application/problem+json");
    head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    head.setKeepAlive(false);
    if (reason.retryAfter.count() > 0)
        head.set("Retry-After", std::to_string((reason.retryAfter.count() + 999) / 1000));
    std::ostringstream text;
    head.write(text);
    return text.str() + body;
}

bool hasEnded(const Poco::Net::StreamSocket& socket)
{
    return socket.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
}

void closeGently(Poco::Net::StreamSocket& socket)
{
    using steady = std::chrono::steady_clock;
    constexpr std::chrono::seconds bound { 1 };
    const auto end = steady::now() + bound;
    try {
        socket.shutdownSend();
        char dropped[8192];
        while (steady::now() < end) {
            const auto left = std::chrono::duration_cast<std::chrono::microseconds>(end - steady::now());
            if (!socket.poll(toTimespan(left), Poco::Net::Socket::SELECT_READ) || socket.receiveBytes(dropped, sizeof dropped) <= 0)
                break;
        }
        socket.shutdown();
    } catch (const Poco::Exception&) {
        return; // The caller has closed it.
    }
}

} // namespace radishflow
