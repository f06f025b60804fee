#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace burdockhead {

// Writes a message of the system's own protocols as a flat sequence of msgpack values.
// A list is its length followed by its items.
class MessageWriter
{
public:
    MessageWriter();
    ~MessageWriter();
    MessageWriter(const MessageWriter &) = delete;
    MessageWriter &operator=(const MessageWriter &) = delete;

    MessageWriter &number(std::uint64_t value);
    MessageWriter &real(double value);
    MessageWriter &flag(bool value);
    MessageWriter &text(std::string_view value);

    // The message so far; the writer is empty afterwards.
    std::string take();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
