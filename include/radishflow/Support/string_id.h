// Declares string_id, the base of every textual identifier, so that one kind is never passed for another.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace radishflow {

/// An identifier made of text; Tag tells the kinds apart. Thread-safe as std::string is.
template <typename Tag>
class string_id {
public:
    string_id() = default;
    explicit string_id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const string_id&, const string_id&) = default;
    friend bool operator==(const string_id&, const string_id&) = default;

private:
    std::string m_value;
};

} // namespace radishflow

template <typename Tag>
struct std::hash<radishflow::string_id<Tag>> {
    std::size_t operator()(const radishflow::string_id<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
