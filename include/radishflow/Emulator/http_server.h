// Declares http_server, POCO's HTTP server behind one function and able to refuse connections for a while.
#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace radishflow {

using http_handler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

/// Serves requests until it is destroyed. Thread-safe.
class http_server {
public:
    /// Throws Poco::Exception when the address can't be had.
    http_server(const std::string& address, int threads, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const { return m_address.port(); }

    /// Closes the listening socket and all connections, or listens on the same port again.
    void setRefusing(bool);

private:
    void open();
    void close();

    int m_threads;
    http_handler m_handler;
    Poco::Net::SocketAddress m_address;
    Poco::Net::ServerSocket m_listening;
    Poco::ThreadPool m_pool;
    std::mutex m_mutex;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace radishflow
