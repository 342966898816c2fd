// Declares the small steps that the stand-ins' request handlers share.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <string>

namespace radishflow {

/// Reads a request's whole body.
std::string readBody(Poco::Net::HTTPServerRequest&);

/// Parses a JSON object. Throws Poco::Exception when it is not one.
Poco::JSON::Object::Ptr parseObject(const std::string& text);

/// Answers with a status and a text.
void sendText(Poco::Net::HTTPServerResponse&, int status, const std::string& type, const std::string& text);

/// Answers with a status and a JSON object.
void sendJson(Poco::Net::HTTPServerResponse&, int status, const Poco::JSON::Object&);

/// Sends bytes on the connection, before the response to the request.
void sendRaw(Poco::Net::HTTPServerRequest&, const std::string& bytes);

/// Closes the connection without answering, or in the middle of the answer.
void cutConnection(Poco::Net::HTTPServerRequest&);

/// Resets the connection, after a short time in which the peer can read what was sent.
void resetConnection(Poco::Net::HTTPServerRequest&);

/// Resets the connection at once; the peer may lose what was sent and not yet read.
void resetConnectionAtOnce(Poco::Net::HTTPServerRequest&);

/// Ends the sending side of the connection and discards what the peer still sends, until it closes the connection.
void finishSending(Poco::Net::HTTPServerRequest&);

/// Whether the peer has closed the connection.
bool hasPeerClosed(Poco::Net::HTTPServerRequest&);

/// Waits until the peer closes the connection or the function returns true, whichever is first.
void waitForClose(Poco::Net::HTTPServerRequest&, const std::function<bool()>& isOver);

/// Returns the path without its query.
std::string pathOf(const Poco::Net::HTTPServerRequest&);

/// Returns a query parameter, or an empty text.
std::string queryValue(const Poco::Net::HTTPServerRequest&, const std::string& name);

/// Seconds since 1970 with fractions, as process_start_time_seconds gives them.
double unixSeconds();

} // namespace radishflow
