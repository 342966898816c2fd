// Declares etcd_table, the platform's table in memory as etcd's JSON gateway shows it.
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace radishflow {

/// Which rows ranges are answered from.
enum class read_age {
    Newest,
    Stale, ///< Those of the moment when this was set.
    Alternate, ///< By turns, as behind a balancer with one replica that lags.
};

/// Answers range and transaction requests. Thread-safe; throws Poco::Exception on a request that is not valid.
class etcd_table {
public:
    Poco::JSON::Object::Ptr range(const Poco::JSON::Object& request) const;
    Poco::JSON::Object::Ptr transact(const Poco::JSON::Object& request);

    /// The stale rows are those of the last change from Newest.
    void setReadAge(read_age);

    std::int64_t revision() const;

private:
    struct row {
        std::string value;
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::int64_t version = 0;
    };
    struct snapshot {
        std::int64_t revision = 1;
        std::map<std::string, row> rows;
    };

    static Poco::JSON::Object::Ptr rangeOf(const snapshot&, const Poco::JSON::Object& request);
    bool holds(const Poco::JSON::Object& comparison) const;
    Poco::JSON::Object::Ptr apply(const Poco::JSON::Object& operation, std::int64_t newRevision);
    void put(const std::string& key, const std::string& value, std::int64_t newRevision);
    std::int64_t erase(const std::string& key, const std::string& end);

    mutable std::mutex m_mutex;
    snapshot m_now;
    snapshot m_stale;
    read_age m_readAge = read_age::Newest;
    mutable bool m_isTurnStale = false; ///< Whether the last range of Alternate was stale.
};

} // namespace radishflow
