#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/transport/cancelframe.h>
#include <burdockhead/transport/dataframe.h>
#include <burdockhead/transport/dispatchframe.h>
#include <burdockhead/transport/endframe.h>
#include <burdockhead/transport/failureframe.h>
#include <burdockhead/transport/headframe.h>
#include <burdockhead/transport/helloframe.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace burdockhead {

// One message on the link between an entry and an agent.
using Frame = std::variant<HelloFrame, DispatchFrame, CancelFrame, HeadFrame, DataFrame, EndFrame,
                           FailureFrame>;

// The frame's bytes without their length; time points become the time left from now.
std::string encodeFrame(const Frame &frame, TimePoint now);

// Reads a frame; none when the bytes are not exactly one frame.
std::optional<Frame> decodeFrame(std::string_view bytes, TimePoint now);

} // namespace burdockhead
