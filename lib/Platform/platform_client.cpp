// Implements the calls to the platform; http_exchange.cpp decides which failure a lost connection is.
#include "radishflow/Platform/platform_client.h"

#include "http_exchange.h"
#include "table_codec.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <random>
#include <thread>

namespace radishflow {

static constexpr const char* jsonType = "application/json";

// The platform answers 429 without doing anything when its rate is spent, so asking again is always safe;
// the growing random pause keeps hundreds of daemons from asking again at once.
static result<platform_reply> exchangeWithPatience(const platform_options& options, const platform_request& request)
{
    constexpr int tooManyRequests = 429;
    constexpr std::chrono::milliseconds firstPause { 10 };
    static thread_local std::minstd_rand random { std::random_device {}() };
    std::chrono::milliseconds waited { 0 };
    std::chrono::milliseconds pause = firstPause;
    while (true) {
        BOOST_LEAF_AUTO(reply, exchange(options, request));
        if (reply.status != tooManyRequests || waited >= options.busyPatience)
            return reply;
        const std::chrono::milliseconds step { std::uniform_int_distribution<std::int64_t> { pause.count() / 2, pause.count() }(random) };
        std::this_thread::sleep_for(step);
        waited += step;
        pause *= 2;
    }
}

// Sends a request and decodes the body of a successful answer.
template <typename Value, typename Decoder>
static result<Value> call(const platform_options& options, const platform_request& request, Decoder decode)
{
    BOOST_LEAF_AUTO(reply, exchangeWithPatience(options, request));
    if (reply.status < 200 || reply.status > 299)
        return failOnStatus(options, request, reply);
    try {
        return decode(reply.body);
    } catch (const Poco::Exception& error) {
        return failOnContent(options, request, error.displayText());
    } catch (const std::exception& error) {
        return failOnContent(options, request, error.what());
    }
}

static std::string objectPath(const platform_options& options, const std::string& key)
{
    std::string encoded;
    Poco::URI::encode(key, "?#+%&;", encoded);
    return "/objects/" + options.bucket + "/" + encoded;
}

static listed_host decodeHost(const Poco::JSON::Object& group, const std::string& target)
{
    const Poco::JSON::Object::Ptr labels = group.getObject("labels");
    if (!labels)
        throw Poco::DataFormatException("a host has no labels");
    const auto label = [&labels](const char* name) { return labels->optValue<std::string>(name, ""); };
    return {
        .role = label("role"),
        .name = label("name"),
        .service = service_id { label("service") },
        .host = host_id { label("host") },
        .zone = zone_id { label("zone") },
        .region = region_id { label("region") },
        .leaving = label("state") == "leaving",
        .target = target,
        .http = label("http"),
    };
}

static std::vector<listed_host> decodeHosts(const std::string& body)
{
    Poco::JSON::Parser parser;
    const auto groups = parser.parse(body).extract<Poco::JSON::Array::Ptr>();
    std::vector<listed_host> hosts;
    for (std::size_t index = 0; index < groups->size(); ++index) {
        const Poco::JSON::Object::Ptr group = groups->getObject(static_cast<unsigned>(index));
        const Poco::JSON::Array::Ptr targets = group ? group->getArray("targets") : Poco::JSON::Array::Ptr {};
        if (!targets)
            throw Poco::DataFormatException("a group of hosts has no targets");
        for (std::size_t target = 0; target < targets->size(); ++target)
            hosts.push_back(decodeHost(*group, targets->getElement<std::string>(static_cast<unsigned>(target))));
    }
    return hosts;
}

result<table_page> platform_client::readRange(const std::string& prefix, std::int64_t minModRevision)
{
    const platform_request request { .step = "read table", .method = "POST", .path = "/v3/kv/range", .body = encodePrefixRange(prefix, minModRevision), .contentType = jsonType };
    return call<table_page>(m_options, request, decodePage);
}

result<std::optional<table_row>> platform_client::readRow(const std::string& key)
{
    const platform_request request { .step = "read row", .method = "POST", .path = "/v3/kv/range", .body = encodeKeyRange(key), .contentType = jsonType };
    BOOST_LEAF_AUTO(page, call<table_page>(m_options, request, decodePage));
    if (page.rows.empty())
        return std::optional<table_row> {};
    return std::optional<table_row> { std::move(page.rows.front()) };
}

result<table_commit> platform_client::commit(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
{
    const platform_request request { .step = "write table", .kind = effect::Write, .method = "POST", .path = "/v3/kv/txn", .body = encodeTransaction(conditions, writes), .contentType = jsonType };
    return call<table_commit>(m_options, request, decodeCommit);
}

result<void> platform_client::putObject(const std::string& key, const std::string& bytes)
{
    const platform_request request { .step = "put object", .kind = effect::Write, .method = "PUT", .path = objectPath(m_options, key), .body = bytes, .contentType = "application/octet-stream", .onlyIfAbsent = true };
    BOOST_LEAF_AUTO(reply, exchangeWithPatience(m_options, request));
    if (reply.status == 412)
        return fail({ .code = failure_code::Conflict, .step = request.step, .peer = m_options.address, .detail = "the object exists" });
    if (reply.status < 200 || reply.status > 299)
        return failOnStatus(m_options, request, reply);
    return {};
}

result<std::string> platform_client::getObject(const std::string& key)
{
    const platform_request request { .step = "get object", .method = "GET", .path = objectPath(m_options, key) };
    return call<std::string>(m_options, request, [](const std::string& body) { return body; });
}

result<std::vector<listed_host>> platform_client::listHosts()
{
    const platform_request request { .step = "list hosts", .method = "GET", .path = "/sd/hosts" };
    return call<std::vector<listed_host>>(m_options, request, decodeHosts);
}

} // namespace radishflow
