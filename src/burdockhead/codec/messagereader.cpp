#include <burdockhead/codec/messagereader.h>

#include <msgpack.hpp>

namespace burdockhead {

MessageReader::MessageReader(std::string_view message)
    : m_message(message)
{}

template <typename Value>
Value MessageReader::read()
{
    if (!m_ok || m_offset >= m_message.size()) {
        m_ok = false;
        return Value();
    }
    try {
        const msgpack::unpack_limit limit(0, 0, m_message.size(), 0, 0, 1);
        const auto handle =
            msgpack::unpack(m_message.data(), m_message.size(), m_offset, nullptr, nullptr, limit);
        return handle.get().as<Value>();
    } catch (const std::exception &) {
        m_ok = false;
        return Value();
    }
}

std::uint64_t MessageReader::number()
{
    return read<std::uint64_t>();
}

double MessageReader::real()
{
    return read<double>();
}

bool MessageReader::flag()
{
    return read<bool>();
}

std::string MessageReader::text()
{
    return read<std::string>();
}

std::size_t MessageReader::listLength(std::size_t limit)
{
    const std::uint64_t length = number();
    if (length > limit) {
        m_ok = false;
        return 0;
    }
    return length;
}

} // namespace burdockhead
