// Declares mapping_reader, which reads one YAML mapping and collects what is wrong with it.
#pragma once

#include "radishflow/Config/config_problem.h"
#include "radishflow/Config/duration_range.h"

#include <yaml-cpp/node/node.h>

#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// One entry of a mapping in its order in the file.
struct mapping_entry {
    std::string key;
    YAML::Node value;
    int line = 0; ///< Counts from 1.
    bool isKnown = false;
};

/// Each read function leaves its target as it was when the key is missing or its value is wrong.
class mapping_reader {
public:
    /// Reports a problem when the node isn't a mapping, or has a key twice.
    mapping_reader(const std::string& file, std::string path, const YAML::Node&, std::vector<config_problem>&);

    /// Reports the keys that nothing has read.
    void reportUnknownKeys();

    /// Reports a problem with a key that is there, or with the mapping when it isn't.
    void report(const std::string& key, const std::string& reason);

    /// Returns the entry and marks it as known, or nullptr.
    const mapping_entry* take(const std::string& key);

    /// Returns all entries for mappings whose keys are names.
    const std::vector<mapping_entry>& entries() const { return m_entries; }

    /// Returns the path of a key, for nested readers.
    std::string pathOf(const std::string& key) const;

    void readText(const std::string& key, std::string& target);
    void readFlag(const std::string& key, bool& target);
    void readNumber(const std::string& key, int& target, int minimum, int maximum);
    void readFraction(const std::string& key, double& target, double minimum, double maximum);
    void readDuration(const std::string& key, duration& target, duration_range allowed);
    void readSize(const std::string& key, std::int64_t& target, std::int64_t minimum, std::int64_t maximum);
    /// Reads a list of distinct texts.
    void readTexts(const std::string& key, std::vector<std::string>& target);

private:
    const mapping_entry* takeScalar(const std::string& key);

    const std::string& m_file;
    std::string m_path;
    int m_line = 0;
    std::vector<mapping_entry> m_entries;
    std::vector<config_problem>& m_problems;
};

} // namespace radishflow
