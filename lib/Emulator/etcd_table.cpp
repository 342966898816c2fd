// Implements the table in memory. A transaction's writes share one revision, as etcd's do.
#include "etcd_table.h"

#include "radishflow/Support/base64.h"

#include <Poco/Exception.h>

#include <compare>
#include <set>
#include <sstream>

namespace radishflow {

using Poco::JSON::Array;
using Poco::JSON::Object;

static constexpr std::size_t mostOperations = 128; // etcd's --max-txn-ops.

static std::string bytesOf(const Object& object, const char* name)
{
    return decodeBase64(object.optValue<std::string>(name, ""));
}

static std::int64_t numberOf(const Object& object, const char* name)
{
    return object.optValue<Poco::Int64>(name, 0);
}

static Object::Ptr headerOf(std::int64_t revision)
{
    Object::Ptr header = new Object;
    header->set("revision", std::to_string(revision));
    return header;
}

// An empty end means one key; an end of one zero byte means all keys from the first on.
static bool isInRange(const std::string& key, const std::string& first, const std::string& end)
{
    if (end.empty())
        return key == first;
    return key >= first && (end == std::string(1, '\0') || key < end);
}

static bool compareMatches(std::strong_ordering ordering, const std::string& expected)
{
    if (expected == "EQUAL")
        return ordering == 0;
    if (expected == "NOT_EQUAL")
        return ordering != 0;
    if (expected == "GREATER")
        return ordering > 0;
    if (expected == "LESS")
        return ordering < 0;
    throw Poco::DataFormatException("unknown comparison", expected);
}

Object::Ptr etcd_table::rangeOf(const snapshot& from, const Object& request)
{
    const std::string first = bytesOf(request, "key");
    const std::string end = bytesOf(request, "range_end");
    const std::int64_t minModRevision = numberOf(request, "min_mod_revision");
    const std::int64_t limit = numberOf(request, "limit");
    Array::Ptr rows = new Array;
    std::int64_t count = 0;
    for (auto entry = from.rows.lower_bound(first); entry != from.rows.end(); ++entry) {
        const auto& [key, found] = *entry;
        if (!isInRange(key, first, end))
            break;
        ++count;
        if (found.modRevision < minModRevision)
            continue;
        if (limit > 0 && static_cast<std::int64_t>(rows->size()) >= limit)
            continue;
        Object::Ptr shown = new Object;
        shown->set("key", encodeBase64(key));
        shown->set("value", encodeBase64(found.value));
        shown->set("create_revision", std::to_string(found.createRevision));
        shown->set("mod_revision", std::to_string(found.modRevision));
        shown->set("version", std::to_string(found.version));
        rows->add(shown);
    }
    Object::Ptr answer = new Object;
    answer->set("header", headerOf(from.revision));
    answer->set("kvs", rows);
    answer->set("count", std::to_string(count));
    return answer;
}

Object::Ptr etcd_table::range(const Object& request) const
{
    const std::lock_guard lock { m_mutex };
    if (m_readAge == read_age::Alternate)
        m_isTurnStale = !m_isTurnStale;
    const bool isStale = m_readAge == read_age::Stale || (m_readAge == read_age::Alternate && m_isTurnStale);
    return rangeOf(isStale ? m_stale : m_now, request);
}

bool etcd_table::holds(const Object& comparison) const
{
    const auto found = m_now.rows.find(bytesOf(comparison, "key"));
    const row current = found == m_now.rows.end() ? row {} : found->second;
    const auto target = comparison.optValue<std::string>("target", "VERSION");
    const auto expected = comparison.optValue<std::string>("result", "EQUAL");
    if (target == "MOD")
        return compareMatches(current.modRevision <=> numberOf(comparison, "mod_revision"), expected);
    if (target == "VERSION")
        return compareMatches(current.version <=> numberOf(comparison, "version"), expected);
    if (target == "VALUE")
        return found != m_now.rows.end() && compareMatches(current.value <=> bytesOf(comparison, "value"), expected);
    throw Poco::DataFormatException("unknown target", target);
}

void etcd_table::put(const std::string& key, const std::string& value, std::int64_t newRevision)
{
    row& written = m_now.rows[key];
    written.value = value;
    written.createRevision = written.createRevision == 0 ? newRevision : written.createRevision;
    written.modRevision = newRevision;
    ++written.version;
    m_now.revision = newRevision;
}

std::int64_t etcd_table::erase(const std::string& key, const std::string& end)
{
    return static_cast<std::int64_t>(
        std::erase_if(m_now.rows, [&](const auto& entry) { return isInRange(entry.first, key, end); }));
}

Object::Ptr etcd_table::apply(const Object& operation, std::int64_t newRevision)
{
    Object::Ptr response = new Object;
    if (const Object::Ptr put = operation.getObject("request_put")) {
        this->put(bytesOf(*put, "key"), bytesOf(*put, "value"), newRevision);
        Object::Ptr answer = new Object;
        answer->set("header", headerOf(newRevision));
        response->set("response_put", answer);
        return response;
    }
    if (const Object::Ptr range = operation.getObject("request_range")) {
        response->set("response_range", rangeOf(m_now, *range));
        return response;
    }
    if (const Object::Ptr removal = operation.getObject("request_delete_range")) {
        const std::int64_t deleted = erase(bytesOf(*removal, "key"), bytesOf(*removal, "range_end"));
        m_now.revision = deleted > 0 ? newRevision : m_now.revision;
        Object::Ptr answer = new Object;
        answer->set("deleted", std::to_string(deleted));
        response->set("response_delete_range", answer);
        return response;
    }
    throw Poco::DataFormatException("unknown operation");
}

// Refuses before anything is applied what etcd refuses: unknown operations, too many, and two puts of one key.
static void checkOperations(const Array::Ptr& operations)
{
    if (!operations)
        return;
    if (operations->size() > mostOperations)
        throw Poco::DataFormatException("too many operations");
    std::set<std::string> keys;
    for (unsigned index = 0; index < operations->size(); ++index) {
        const Object::Ptr operation = operations->getObject(index);
        if (!operation || (!operation->has("request_put") && !operation->has("request_range") && !operation->has("request_delete_range")))
            throw Poco::DataFormatException("unknown operation");
        const Object::Ptr put = operation->getObject("request_put");
        if (put && !keys.insert(bytesOf(*put, "key")).second)
            throw Poco::DataFormatException("duplicate key");
    }
}

Object::Ptr etcd_table::transact(const Object& request)
{
    checkOperations(request.getArray("success"));
    checkOperations(request.getArray("failure"));
    const std::lock_guard lock { m_mutex };
    bool succeeded = true;
    if (const Array::Ptr comparisons = request.getArray("compare")) {
        for (unsigned index = 0; index < comparisons->size(); ++index)
            succeeded = holds(*comparisons->getObject(index)) && succeeded;
    }
    const std::int64_t newRevision = m_now.revision + 1;
    Array::Ptr responses = new Array;
    if (const Array::Ptr operations = request.getArray(succeeded ? "success" : "failure")) {
        for (unsigned index = 0; index < operations->size(); ++index)
            responses->add(apply(*operations->getObject(index), newRevision));
    }
    Object::Ptr answer = new Object;
    answer->set("header", headerOf(m_now.revision));
    answer->set("succeeded", succeeded);
    answer->set("responses", responses);
    return answer;
}

void etcd_table::setReadAge(read_age age)
{
    const std::lock_guard lock { m_mutex };
    if (m_readAge == read_age::Newest)
        m_stale = m_now;
    m_readAge = age;
}

std::int64_t etcd_table::revision() const
{
    const std::lock_guard lock { m_mutex };
    return m_now.revision;
}

} // namespace radishflow
