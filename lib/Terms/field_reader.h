// Declares field_reader, which parses and validates the space-separated fields of a row.
#pragma once

#include <charconv>
#include <cstdint>
#include <string_view>

namespace radishflow {

/// Reads fields from left to right. After the first invalid field every read returns an empty value.
class field_reader {
public:
    explicit field_reader(std::string_view text)
        : m_rest(text)
    {
    }

    std::string_view text()
    {
        if (m_rest.empty())
            m_isValid = false;
        if (!m_isValid)
            return {};
        const auto end = m_rest.find(' ');
        const std::string_view field = m_rest.substr(0, end);
        m_rest = end == std::string_view::npos ? std::string_view {} : m_rest.substr(end + 1);
        const bool endsInSpace = end != std::string_view::npos && m_rest.empty();
        m_isValid = !field.empty() && !endsInSpace;
        return field;
    }

    template <typename Number>
    Number number()
    {
        const std::string_view field = text();
        Number value = 0;
        const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), value);
        if (error != std::errc {} || end != field.data() + field.size())
            m_isValid = false;
        return m_isValid ? value : 0;
    }

    /// Marks the input as invalid unless the condition holds.
    void require(bool condition) { m_isValid = m_isValid && condition; }

    bool isValid() const { return m_isValid; }
    bool isAtEnd() const { return m_rest.empty(); }

private:
    std::string_view m_rest;
    bool m_isValid = true;
};

} // namespace radishflow
