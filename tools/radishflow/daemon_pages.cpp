// Implements the reading of pages of daemons.
#include "daemon_pages.h"

#include "radishflow/Platform/platform_client.h"
#include "radishflow/Requests/response_stream.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <iostream>

namespace radishflow {

result<Poco::JSON::Object::Ptr> askDaemon(const std::string& address, const std::string& method, const std::string& path, const std::string& body)
{
    const std::string step = method + ' ' + path;
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress { address } };
        session.setTimeout(Poco::Timespan { 3, 0 });
        Poco::Net::HTTPRequest request { method, path, Poco::Net::HTTPMessage::HTTP_1_1 };
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body << std::flush;
        response_stream response { session };
        const response_head& head = response.readHead();
        std::string text;
        Poco::StreamCopier::copyToString(response.body(), text);
        if (!response.isComplete())
            throw Poco::Net::MessageException("the page ended early");
        Poco::JSON::Parser parser;
        auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        if (head.status != 200)
            return fail({ .code = failure_code::Refused, .step = step, .peer = address, .detail = object->optValue<std::string>("detail", head.reason) });
        return object;
    } catch (const Poco::Exception& error) {
        return fail({ .code = failure_code::Unreachable, .step = step, .peer = address, .detail = error.displayText() });
    }
}

result<std::vector<std::string>> daemonAddresses(const command_options& options)
{
    if (!options.daemon.empty())
        return std::vector<std::string> { options.daemon };
    platform_client platform { platform_options { .address = options.platform } };
    BOOST_LEAF_AUTO(hosts, platform.listHosts());
    std::vector<std::string> addresses;
    for (const listed_host& host : hosts) {
        if (host.role == "daemon")
            addresses.push_back(host.http);
    }
    return addresses;
}

exit_code reportFailure(const failure& error)
{
    std::cerr << "radishflow: " << describe(error) << '\n';
    return error.code == failure_code::ReplyLost ? exit_code::Unknown : exit_code::Failed;
}

} // namespace radishflow
