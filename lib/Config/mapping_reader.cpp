// Implements the reading of one YAML mapping.
#include "mapping_reader.h"

#include "radishflow/Config/parse_units.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>

namespace radishflow {

static int lineOf(const YAML::Node& node)
{
    return node.Mark().line + 1;
}

// yaml-cpp's own conversions accept octal, hexadecimal and ".inf"; service files have plain numbers only.
template <typename Number>
static bool parseNumber(const std::string& text, Number& target)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), target);
    return error == std::errc {} && end == text.data() + text.size();
}

mapping_reader::mapping_reader(
    const std::string& file, std::string path, const YAML::Node& node, std::vector<config_problem>& problems)
    : m_file(file)
    , m_path(std::move(path))
    , m_line(lineOf(node))
    , m_problems(problems)
{
    if (!node.IsMap()) {
        m_problems.push_back({ .file = m_file, .line = m_line, .key = m_path, .reason = "a mapping is expected" });
        return;
    }
    for (const auto& entry : node) {
        const int line = lineOf(entry.first);
        if (!entry.first.IsScalar()) {
            m_problems.push_back({ .file = m_file, .line = line, .key = m_path, .reason = "a key must be a word" });
            continue;
        }
        m_entries.push_back({ .key = entry.first.Scalar(), .value = entry.second, .line = line });
    }
    std::vector<std::pair<std::string, int>> sorted;
    for (const mapping_entry& entry : m_entries)
        sorted.emplace_back(entry.key, entry.line);
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t i = 1; i < sorted.size(); ++i) {
        if (sorted[i].first == sorted[i - 1].first)
            m_problems.push_back({ .file = m_file, .line = sorted[i].second, .key = pathOf(sorted[i].first), .reason = "the key stands twice" });
    }
}

void mapping_reader::reportUnknownKeys()
{
    for (const mapping_entry& entry : m_entries) {
        if (!entry.isKnown)
            report(entry.key, "unknown key");
    }
}

void mapping_reader::report(const std::string& key, const std::string& reason)
{
    const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&](const mapping_entry& candidate) { return candidate.key == key; });
    const int line = entry == m_entries.end() ? m_line : entry->line;
    m_problems.push_back({ .file = m_file, .line = line, .key = pathOf(key), .reason = reason });
}

const mapping_entry* mapping_reader::take(const std::string& key)
{
    const mapping_entry* found = nullptr;
    for (mapping_entry& entry : m_entries) {
        if (entry.key != key)
            continue;
        entry.isKnown = true;
        found = &entry;
    }
    return found;
}

std::string mapping_reader::pathOf(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

const mapping_entry* mapping_reader::takeScalar(const std::string& key)
{
    const mapping_entry* entry = take(key);
    if (!entry)
        return nullptr;
    if (entry->value.IsScalar() && !entry->value.Scalar().empty())
        return entry;
    report(key, "a single value is expected");
    return nullptr;
}

void mapping_reader::readText(const std::string& key, std::string& target)
{
    if (const mapping_entry* entry = takeScalar(key))
        target = entry->value.Scalar();
}

void mapping_reader::readFlag(const std::string& key, bool& target)
{
    const mapping_entry* entry = takeScalar(key);
    if (!entry)
        return;
    const std::string& text = entry->value.Scalar();
    if (text != "true" && text != "false") {
        report(key, "true or false is expected, not '" + text + "'");
        return;
    }
    target = text == "true";
}

void mapping_reader::readNumber(const std::string& key, int& target, int minimum, int maximum)
{
    const mapping_entry* entry = takeScalar(key);
    if (!entry)
        return;
    int value = 0;
    if (!parseNumber(entry->value.Scalar(), value) || value < minimum || value > maximum) {
        report(key, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum) + " is expected, not '" + entry->value.Scalar() + "'");
        return;
    }
    target = value;
}

void mapping_reader::readFraction(const std::string& key, double& target, double minimum, double maximum)
{
    const mapping_entry* entry = takeScalar(key);
    if (!entry)
        return;
    double value = 0;
    // Written as a conjunction so that NaN is refused as well.
    if (!parseNumber(entry->value.Scalar(), value) || !(value >= minimum && value <= maximum)) {
        report(key, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum) + " is expected, not '" + entry->value.Scalar() + "'");
        return;
    }
    target = value;
}

void mapping_reader::readDuration(const std::string& key, duration& target, duration_range allowed)
{
    const mapping_entry* entry = takeScalar(key);
    if (!entry)
        return;
    const std::optional<duration> value = parseDuration(entry->value.Scalar());
    if (!value) {
        report(key, "a whole number with ms, s, min or h is expected, not '" + entry->value.Scalar() + "'");
        return;
    }
    if (*value < allowed.atLeast || *value > allowed.atMost) {
        report(key, "a duration from " + formatDuration(allowed.atLeast) + " to " + formatDuration(allowed.atMost) + " is expected, not '" + entry->value.Scalar() + "'");
        return;
    }
    target = *value;
}

void mapping_reader::readSize(const std::string& key, std::int64_t& target, std::int64_t minimum, std::int64_t maximum)
{
    const mapping_entry* entry = takeScalar(key);
    if (!entry)
        return;
    const std::optional<std::int64_t> value = parseSize(entry->value.Scalar());
    if (!value || *value < minimum || *value > maximum) {
        report(key, "a size from " + formatSize(minimum) + " to " + formatSize(maximum) + " with B, KiB or MiB is expected, not '" + entry->value.Scalar() + "'");
        return;
    }
    target = *value;
}

void mapping_reader::readTexts(const std::string& key, std::vector<std::string>& target)
{
    const mapping_entry* entry = take(key);
    if (!entry)
        return;
    if (!entry->value.IsSequence()) {
        report(key, "a list is expected");
        return;
    }
    std::vector<std::string> texts;
    for (const YAML::Node& item : entry->value) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            report(key, "each item must be a single value");
            return;
        }
        if (std::find(texts.begin(), texts.end(), item.Scalar()) != texts.end())
            report(key, "'" + item.Scalar() + "' stands twice");
        texts.push_back(item.Scalar());
    }
    target = std::move(texts);
}

} // namespace radishflow
