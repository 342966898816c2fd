// Implements the text format of renewal rows: "r1 <incarnation> <nonce> <sequence> <state>".
#include "radishflow/Terms/renewal_row.h"

#include "field_reader.h"

#include <array>
#include <cassert>

namespace radishflow {

static constexpr std::string_view renewalsPrefix = "terms/renewals/";
static constexpr std::string_view renewalFormat = "r1";
static constexpr std::array<std::string_view, 3> stateWords { "live", "lapsed", "released" };

std::string renewalKey(const daemon_id& daemon)
{
    return std::string { renewalsPrefix } + daemon.value();
}

std::optional<daemon_id> daemonOfRenewalKey(std::string_view key)
{
    if (!key.starts_with(renewalsPrefix))
        return std::nullopt;
    return daemon_id { std::string { key.substr(renewalsPrefix.size()) } };
}

std::string format(const renewal_row& row)
{
    std::string text { renewalFormat };
    text.append(" ").append(std::to_string(row.incarnation.value()));
    text.append(" ").append(std::to_string(row.nonce));
    text.append(" ").append(std::to_string(row.sequence));
    text.append(" ").append(stateWords.at(static_cast<std::size_t>(row.state)));
    return text;
}

static std::optional<renewal_state> stateOf(std::string_view word)
{
    for (std::size_t index = 0; index < stateWords.size(); ++index) {
        if (stateWords.at(index) == word)
            return static_cast<renewal_state>(index);
    }
    return std::nullopt;
}

std::optional<renewal_row> parseRenewalRow(std::string_view text)
{
    field_reader fields { text };
    fields.require(fields.text() == renewalFormat);
    renewal_row row;
    row.incarnation = incarnation_number { fields.number<std::uint64_t>() };
    row.nonce = fields.number<std::uint64_t>();
    row.sequence = fields.number<std::uint64_t>();
    const auto state = stateOf(fields.text());
    if (!fields.isValid() || !fields.isAtEnd() || !state)
        return std::nullopt;
    row.state = *state;
    return row;
}

} // namespace radishflow
