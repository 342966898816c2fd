// Implements durations and sizes with units.
#include "radishflow/Config/parse_units.h"

#include <array>
#include <charconv>
#include <limits>
#include <span>

namespace radishflow {

namespace {

    struct unit {
        std::string_view suffix;
        std::int64_t factor;
    };

} // namespace

static constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;

// Both tables run from the smallest unit to the largest.
static constexpr std::array durationUnits {
    unit { .suffix = "ms", .factor = 1 },
    unit { .suffix = "s", .factor = 1000 },
    unit { .suffix = "min", .factor = 60'000 },
    unit { .suffix = "h", .factor = 3'600'000 },
};
static constexpr std::array sizeUnits {
    unit { .suffix = "B", .factor = 1 },
    unit { .suffix = "KiB", .factor = 1024 },
    unit { .suffix = "MiB", .factor = 1'048'576 },
};

static std::optional<std::int64_t> parseQuantity(std::string_view text, std::span<const unit> units, std::int64_t maximum)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc {} || count < 0)
        return std::nullopt;
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const unit& candidate : units) {
        if (candidate.suffix != suffix)
            continue;
        if (count > maximum / candidate.factor)
            return std::nullopt;
        return count * candidate.factor;
    }
    return std::nullopt;
}

static std::string formatQuantity(std::int64_t count, std::span<const unit> units)
{
    const unit* best = &units.front();
    for (const unit& candidate : units) {
        if (count != 0 && count % candidate.factor == 0)
            best = &candidate;
    }
    return std::to_string(count / best->factor) + std::string(best->suffix);
}

std::optional<duration> parseDuration(std::string_view text)
{
    constexpr std::int64_t maximum = std::numeric_limits<std::int64_t>::max() / nanosecondsPerMillisecond;
    const std::optional<std::int64_t> milliseconds = parseQuantity(text, durationUnits, maximum);
    if (!milliseconds)
        return std::nullopt;
    return std::chrono::milliseconds { *milliseconds };
}

std::optional<std::int64_t> parseSize(std::string_view text)
{
    return parseQuantity(text, sizeUnits, std::numeric_limits<std::int64_t>::max());
}

std::string formatDuration(duration value)
{
    return formatQuantity(value.count() / nanosecondsPerMillisecond, durationUnits);
}

std::string formatSize(std::int64_t bytes)
{
    return formatQuantity(bytes, sizeUnits);
}

} // namespace radishflow
