// Implements the JSON of etcd's gateway: keys and values in base64, 64-bit numbers as strings. The gateway
// leaves out fields that are zero, false or empty, so each field has a default here.
#include "table_codec.h"

#include "radishflow/Support/base64.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace radishflow {

using Poco::JSON::Array;
using Poco::JSON::Object;

static std::string toText(const Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

// The end of a prefix is the first key that no longer starts with it.
static std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    ++prefix.back();
    return prefix;
}

std::string encodePrefixRange(const std::string& prefix, std::int64_t minModRevision)
{
    Object range;
    range.set("key", encodeBase64(prefix.empty() ? std::string(1, '\0') : prefix));
    range.set("range_end", encodeBase64(endOfPrefix(prefix)));
    if (minModRevision > 0)
        range.set("min_mod_revision", std::to_string(minModRevision));
    return toText(range);
}

static Object::Ptr keyRange(const std::string& key)
{
    Object::Ptr range = new Object;
    range->set("key", encodeBase64(key));
    return range;
}

std::string encodeKeyRange(const std::string& key)
{
    return toText(*keyRange(key));
}

std::string encodeTransaction(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes)
{
    Array::Ptr compare = new Array;
    Array::Ptr onFailure = new Array;
    for (const row_condition& condition : conditions) {
        Object::Ptr entry = new Object;
        entry->set("key", encodeBase64(condition.key));
        entry->set("target", "MOD");
        entry->set("result", "EQUAL");
        entry->set("mod_revision", std::to_string(condition.modRevision));
        compare->add(entry);
        Object::Ptr operation = new Object;
        operation->set("request_range", keyRange(condition.key));
        onFailure->add(operation);
    }
    Array::Ptr onSuccess = new Array;
    for (const row_write& write : writes) {
        Object::Ptr put = new Object;
        put->set("key", encodeBase64(write.key));
        put->set("value", encodeBase64(write.value));
        Object::Ptr operation = new Object;
        operation->set("request_put", put);
        onSuccess->add(operation);
    }
    Object transaction;
    transaction.set("compare", compare);
    transaction.set("success", onSuccess);
    transaction.set("failure", onFailure);
    return toText(transaction);
}

static Object::Ptr parseObject(const std::string& body)
{
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Object::Ptr>();
}

static std::int64_t revisionOf(const Object& answer)
{
    const Object::Ptr header = answer.getObject("header");
    if (!header)
        throw Poco::DataFormatException("the answer has no header");
    return header->optValue<Poco::Int64>("revision", 0);
}

static void appendRows(const Object& range, std::vector<table_row>& rows)
{
    const Array::Ptr entries = range.getArray("kvs");
    if (!entries)
        return;
    for (std::size_t index = 0; index < entries->size(); ++index) {
        const Object::Ptr entry = entries->getObject(static_cast<unsigned>(index));
        if (!entry)
            throw Poco::DataFormatException("a row is not an object");
        rows.push_back({
            .key = decodeBase64(entry->optValue<std::string>("key", "")),
            .value = decodeBase64(entry->optValue<std::string>("value", "")),
            .createRevision = entry->optValue<Poco::Int64>("create_revision", 0),
            .modRevision = entry->optValue<Poco::Int64>("mod_revision", 0),
        });
    }
}

table_page decodePage(const std::string& body)
{
    const Object::Ptr answer = parseObject(body);
    table_page page { .revision = revisionOf(*answer), .rows = {} };
    appendRows(*answer, page.rows);
    return page;
}

table_commit decodeCommit(const std::string& body)
{
    const Object::Ptr answer = parseObject(body);
    table_commit outcome {
        .succeeded = answer->optValue<bool>("succeeded", false),
        .revision = revisionOf(*answer),
        .seen = {},
    };
    const Array::Ptr responses = answer->getArray("responses");
    if (outcome.succeeded || !responses)
        return outcome;
    for (std::size_t index = 0; index < responses->size(); ++index) {
        const Object::Ptr response = responses->getObject(static_cast<unsigned>(index));
        const Object::Ptr range = response ? response->getObject("response_range") : Object::Ptr {};
        if (range)
            appendRows(*range, outcome.seen);
    }
    return outcome;
}

} // namespace radishflow
