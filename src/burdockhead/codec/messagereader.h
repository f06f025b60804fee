#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhead {

// Reads what MessageWriter wrote. The first value that is missing or of another type turns
// the reader bad; from then on every read gives an empty value and ok() is false.
class MessageReader
{
public:
    // Reads from a message that must outlive the reader.
    explicit MessageReader(std::string_view message);

    std::uint64_t number();
    double real();
    bool flag();
    std::string text();

    // A list's length; more than the limit turns the reader bad and gives 0.
    std::size_t listLength(std::size_t limit);

    // Turns the reader bad; for values that are well formed but not allowed.
    void fail() { m_ok = false; }

    // True while every read has succeeded.
    bool ok() const { return m_ok; }

    // True when every read has succeeded and nothing is left.
    bool complete() const { return m_ok && m_offset == m_message.size(); }

private:
    template <typename Value>
    Value read();

    std::string_view m_message;
    std::size_t m_offset = 0;
    bool m_ok = true;
};

} // namespace burdockhead
