// Declares the rows of the platform's table and what a conditional write is made of.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// One row; revisions are the table's and grow with every write to it.
struct table_row {
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
};

/// Rows as of one revision of the whole table.
struct table_page {
    std::int64_t revision = 0;
    std::vector<table_row> rows;
};

/// Holds when the row's last write has this revision; 0 means that there is no such row.
struct row_condition {
    std::string key;
    std::int64_t modRevision = 0;
};

struct row_write {
    std::string key;
    std::string value;
};

/// Outcome of a conditional write. When it did not succeed, `seen` holds the rows of its conditions.
struct table_commit {
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<table_row> seen;
};

} // namespace radishflow
