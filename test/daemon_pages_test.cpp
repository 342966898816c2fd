// Tests that the operators' tool shows only pages that a daemon has sent whole.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>
#include <thread>

namespace {

struct page_case {
    const char* name;
    std::string bytes;
    bool isWhole = false;

    friend std::ostream& operator<<(std::ostream& out, const page_case& testCase) { return out << testCase.name; }
};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string page = R"({"state":"done"})";
const std::string length = "Content-Length: 16\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n10\r\n" + page + "\r\n0\r\n";

const page_case pages[] {
    { "with a length", head + length + "\r\n" + page, true },
    { "in chunks", head + chunked + "\r\n", true },
    { "neither length nor chunks", head + "\r\n" + page, true },
    { "part with a length", head + "Content-Length: 40\r\n\r\n" + page },
    { "last chunk missing", head + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + page + "\r\n" },
    { "status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\n" + page },
    { "blank in a name", head + "X Note: 1\r\n" + length + "\r\n" + page },
    { "length with a blank behind its name", head + "Content-Length : 9\r\n\r\n" + page },
    { "control byte in a name", head + "X\x01Note: 1\r\n" + length + "\r\n" + page },
    { "field behind a bare line feed", "HTTP/1.1 200 OK\nX-Note: 1\r\n" + length + "\r\n" + page },
    { "trailer with a blank in its name", head + chunked + "X Note: 1\r\n\r\n" },
};

/// Responds to one request and closes the connection.
void respondOnce(Poco::Net::ServerSocket& listener, const std::string& bytes)
{
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    std::array<char, 4096> request;
    connection.receiveBytes(request.data(), static_cast<int>(request.size()));
    connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    connection.close();
}

} // namespace

BOOST_DATA_TEST_CASE(onlyWholePagesAreShown, boost::unit_test::data::make(pages), testCase)
{
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    const std::jthread daemon { [&] { respondOnce(listener, testCase.bytes); } };
    Poco::Pipe output;
    Poco::Pipe errors;
    const Poco::ProcessHandle tool = Poco::Process::launch(std::string { RADISHFLOW_PROGRAMS } + "/radishflow", { "order", "workspace", "key", "--daemon=" + listener.address().toString() }, nullptr, &output, &errors);
    std::string shown;
    Poco::PipeInputStream stream { output };
    Poco::StreamCopier::copyToString(stream, shown);
    BOOST_TEST((tool.wait() == 0) == testCase.isWhole);
    BOOST_TEST((shown.find("done") != std::string::npos) == testCase.isWhole, shown);
}
