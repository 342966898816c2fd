// Declares number_id, the base of every numbered identifier and of counts that must not be mixed.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace radishflow {

/// An ordered number; Tag tells the kinds apart. Zero means "none yet".
template <typename Tag>
class number_id {
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr number_id next() const { return number_id { m_value + 1 }; }

    friend constexpr auto operator<=>(number_id, number_id) = default;
    friend constexpr bool operator==(number_id, number_id) = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace radishflow

template <typename Tag>
struct std::hash<radishflow::number_id<Tag>> {
    std::size_t operator()(radishflow::number_id<Tag> id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.value());
    }
};
