#include <burdockhead/codec/messagewriter.h>

#include <msgpack.hpp>

namespace burdockhead {

struct MessageWriter::Private
{
    msgpack::sbuffer m_buffer;
    msgpack::packer<msgpack::sbuffer> m_packer{m_buffer};
};

MessageWriter::MessageWriter()
    : m_d(std::make_unique<Private>())
{}

MessageWriter::~MessageWriter() = default;

MessageWriter &MessageWriter::number(std::uint64_t value)
{
    m_d->m_packer.pack(value);
    return *this;
}

MessageWriter &MessageWriter::real(double value)
{
    m_d->m_packer.pack(value);
    return *this;
}

MessageWriter &MessageWriter::flag(bool value)
{
    m_d->m_packer.pack(value);
    return *this;
}

MessageWriter &MessageWriter::text(std::string_view value)
{
    m_d->m_packer.pack_str(static_cast<std::uint32_t>(value.size()));
    m_d->m_packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
    return *this;
}

std::string MessageWriter::take()
{
    std::string message(m_d->m_buffer.data(), m_d->m_buffer.size());
    m_d->m_buffer.clear();
    return message;
}

} // namespace burdockhead
