// Implements the text format of ownership rows: "o1 <daemon> <incarnation> <term> <held|released> <count>" and, for
// each former holder, "<daemon> <incarnation> <term> <running or ->".
#include "radishflow/Terms/ownership_row.h"

#include "field_reader.h"

#include <algorithm>
#include <cassert>

namespace radishflow {

static constexpr std::string_view ownersPrefix = "terms/owners/";
static constexpr std::string_view ownershipFormat = "o1";
static constexpr std::string_view unknownRunning = "-";

std::string ownershipKey(const server_id& server)
{
    return std::string { ownersPrefix } + server.value();
}

std::optional<server_id> serverOfOwnershipKey(std::string_view key)
{
    if (!key.starts_with(ownersPrefix))
        return std::nullopt;
    return server_id { std::string { key.substr(ownersPrefix.size()) } };
}

static void appendHolder(std::string& text, const daemon_id& daemon, incarnation_number incarnation, term_number term)
{
    assert(!daemon.empty() && daemon.value().find(' ') == std::string::npos && "a daemon's name must be a single word");
    text.append(" ").append(daemon.value());
    text.append(" ").append(std::to_string(incarnation.value()));
    text.append(" ").append(std::to_string(term.value()));
}

std::string format(const ownership_row& row)
{
    std::string text { ownershipFormat };
    appendHolder(text, row.daemon, row.incarnation, row.term);
    text.append(row.isReleased ? " released " : " held ").append(std::to_string(row.formerHolders.size()));
    for (const residual_share& share : row.formerHolders) {
        appendHolder(text, share.daemon, share.incarnation, share.term);
        text.append(" ").append(share.running ? std::to_string(*share.running) : std::string { unknownRunning });
    }
    return text;
}

static residual_share readShare(field_reader& fields)
{
    residual_share share;
    share.daemon = daemon_id { std::string { fields.text() } };
    share.incarnation = incarnation_number { fields.number<std::uint64_t>() };
    share.term = term_number { fields.number<std::uint64_t>() };
    field_reader running { fields.text() };
    field_reader copy = running;
    if (copy.text() == unknownRunning)
        return share;
    share.running = running.number<int>();
    fields.require(running.isValid() && *share.running >= 0);
    return share;
}

std::optional<ownership_row> parseOwnershipRow(std::string_view text)
{
    field_reader fields { text };
    fields.require(fields.text() == ownershipFormat);
    ownership_row row;
    row.daemon = daemon_id { std::string { fields.text() } };
    row.incarnation = incarnation_number { fields.number<std::uint64_t>() };
    row.term = term_number { fields.number<std::uint64_t>() };
    const std::string_view state = fields.text();
    fields.require(state == "held" || state == "released");
    row.isReleased = state == "released";
    const auto count = fields.number<std::uint32_t>();
    for (std::uint32_t index = 0; index < count && fields.isValid(); ++index)
        row.formerHolders.push_back(readShare(fields));
    if (!fields.isValid() || !fields.isAtEnd())
        return std::nullopt;
    return row;
}

} // namespace radishflow
