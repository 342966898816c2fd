// Declares how the table's requests and answers are written in the JSON of etcd's gateway.
#pragma once

#include "radishflow/Support/table_row.h"

#include <string>
#include <vector>

namespace radishflow {

/// Body of a range request for all keys under a prefix.
std::string encodePrefixRange(const std::string& prefix, std::int64_t minModRevision);

/// Body of a range request for one key.
std::string encodeKeyRange(const std::string& key);

/// Body of a transaction that on failure reads the rows of its conditions.
std::string encodeTransaction(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes);

/// Reads a range answer. Throws Poco::Exception when it is not valid.
table_page decodePage(const std::string& body);

/// Reads a transaction's answer. Throws Poco::Exception when it is not valid.
table_commit decodeCommit(const std::string& body);

} // namespace radishflow
