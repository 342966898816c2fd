// Implements the encoding of claims as table rows, and the check of idempotency keys.
#include "radishflow/Orders/claim_record.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace radishflow {

static constexpr std::size_t maximumKeyLength = 200;
static constexpr std::size_t fieldCount = 9;
static constexpr std::array stateLetters { 'c', 'd', 'f', 'n', 'u' };

bool isValidKey(const idempotency_key& key)
{
    const auto isVisible = [](char letter) { return letter > ' ' && letter <= '~'; };
    return !key.empty() && key.value().size() <= maximumKeyLength && std::all_of(key.value().begin(), key.value().end(), isVisible);
}

// The length before the key keeps the row key of "a" from being a prefix of that of "ab".
std::string claimRowKey(const order& request)
{
    return "claims/" + request.workspace.value() + "/" + std::to_string(request.key.value().size()) + ":" + request.key.value();
}

static void appendField(std::string& text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

// Each field is prefixed with its length, because bodies may contain any byte.
std::string encode(const claim_record& record)
{
    std::string text;
    appendField(text, std::string_view(&stateLetters.at(static_cast<std::size_t>(record.state)), 1));
    appendField(text, record.attempt.value());
    appendField(text, record.holder.value());
    appendField(text, std::to_string(record.incarnation.value()));
    appendField(text, std::to_string(record.fingerprint));
    appendField(text, std::to_string(record.response.status));
    appendField(text, record.response.contentType);
    appendField(text, record.response.isBodyStored ? "1" : "0");
    appendField(text, record.response.body);
    return text;
}

template <typename Number>
static bool parseNumber(std::string_view text, Number& target)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), target);
    return error == std::errc {} && end == text.data() + text.size();
}

static bool parseField(std::string_view& rest, std::string_view& field)
{
    const std::size_t colon = rest.find(':');
    std::size_t length = 0;
    if (colon == std::string_view::npos || !parseNumber(rest.substr(0, colon), length) || length > rest.size() - colon - 1)
        return false;
    field = rest.substr(colon + 1, length);
    rest.remove_prefix(colon + 1 + length);
    return true;
}

static bool parseState(std::string_view text, claim_state& state)
{
    const auto letter = text.size() == 1 ? std::find(stateLetters.begin(), stateLetters.end(), text.front()) : stateLetters.end();
    if (letter == stateLetters.end())
        return false;
    state = static_cast<claim_state>(letter - stateLetters.begin());
    return true;
}

static bool parseRecord(std::string_view rest, claim_record& record)
{
    std::array<std::string_view, fieldCount> fields;
    for (std::string_view& field : fields) {
        if (!parseField(rest, field))
            return false;
    }
    std::uint64_t incarnation = 0;
    if (!rest.empty() || !parseState(fields[0], record.state) || !parseNumber(fields[3], incarnation))
        return false;
    if (!parseNumber(fields[4], record.fingerprint) || !parseNumber(fields[5], record.response.status))
        return false;
    record.attempt = attempt_id { std::string(fields[1]) };
    record.holder = daemon_id { std::string(fields[2]) };
    record.incarnation = incarnation_number { incarnation };
    record.response.contentType = fields[6];
    record.response.isBodyStored = fields[7] == "1";
    record.response.body = fields[8];
    return true;
}

result<claim_record> decodeClaimRecord(const std::string& value)
{
    claim_record record;
    if (!parseRecord(value, record))
        return fail({ .code = failure_code::Broken, .step = "read claim", .peer = "table" });
    return record;
}

} // namespace radishflow
