// Implements the steps that the stand-ins' request handlers share.
#include "radishflow/Emulator/http_reply.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Thread.h>
#include <Poco/URI.h>

#include <array>
#include <chrono>
#include <sstream>
#include <sys/socket.h>

namespace radishflow {

static constexpr Poco::Timespan::TimeDiff pollMicroseconds = 50'000;

static Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest& request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

std::string readBody(Poco::Net::HTTPServerRequest& request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

Poco::JSON::Object::Ptr parseObject(const std::string& text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

void sendText(Poco::Net::HTTPServerResponse& response, int status, const std::string& type, const std::string& text)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.sendBuffer(text.data(), text.size());
}

void sendJson(Poco::Net::HTTPServerResponse& response, int status, const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    sendText(response, status, "application/json", text.str());
}

void sendRaw(Poco::Net::HTTPServerRequest& request, const std::string& bytes)
{
    socketOf(request).sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void cutConnection(Poco::Net::HTTPServerRequest& request)
{
    request.response().setKeepAlive(false);
    try {
        socketOf(request).shutdown();
    } catch (const Poco::Exception&) {
        // The peer was faster.
    }
}

void resetConnection(Poco::Net::HTTPServerRequest& request)
{
    // The peer reads what was sent before the reset only if it does so in time.
    Poco::Thread::sleep(pollMicroseconds / 1000);
    resetConnectionAtOnce(request);
}

void resetConnectionAtOnce(Poco::Net::HTTPServerRequest& request)
{
    request.response().setKeepAlive(false);
    try {
        socketOf(request).setLinger(true, 0);
        socketOf(request).close();
    } catch (const Poco::Exception&) {
        // The peer was faster.
    }
}

void finishSending(Poco::Net::HTTPServerRequest& request)
{
    request.response().setKeepAlive(false);
    std::array<char, 65536> dropped;
    try {
        socketOf(request).shutdownSend();
        while (socketOf(request).receiveBytes(dropped.data(), static_cast<int>(dropped.size())) > 0) { }
    } catch (const Poco::Exception&) {
        // The peer reset the connection, which ends it as well.
    }
}

static bool hasEnded(Poco::Net::StreamSocket& socket)
{
    char byte = 0;
    return ::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

bool hasPeerClosed(Poco::Net::HTTPServerRequest& request)
{
    Poco::Net::StreamSocket& socket = socketOf(request);
    return socket.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ) && hasEnded(socket);
}

void waitForClose(Poco::Net::HTTPServerRequest& request, const std::function<bool()>& isOver)
{
    Poco::Net::StreamSocket& socket = socketOf(request);
    while (!isOver()) {
        if (!socket.poll(Poco::Timespan { pollMicroseconds }, Poco::Net::Socket::SELECT_READ))
            continue;
        if (hasEnded(socket))
            return;
        // The peer sent more; only its closing matters.
        Poco::Thread::sleep(pollMicroseconds / 1000);
    }
}

std::string pathOf(const Poco::Net::HTTPServerRequest& request)
{
    return Poco::URI { request.getURI() }.getPath();
}

std::string queryValue(const Poco::Net::HTTPServerRequest& request, const std::string& name)
{
    for (const auto& [key, value] : Poco::URI { request.getURI() }.getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

double unixSeconds()
{
    return std::chrono::duration<double> { std::chrono::system_clock::now().time_since_epoch() }.count();
}

} // namespace radishflow
