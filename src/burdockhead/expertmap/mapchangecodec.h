#pragma once

#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/expertmap/mapchange.h>

namespace burdockhead {

// Serialization of the types that occur both in records and in messages.
void writeChangeId(MessageWriter &writer, const ChangeId &id);
ChangeId readChangeId(MessageReader &reader);
void writeMapChange(MessageWriter &writer, const MapChange &change);
MapChange readMapChange(MessageReader &reader);

} // namespace burdockhead
