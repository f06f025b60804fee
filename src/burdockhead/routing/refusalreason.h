#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/routing/choicecontext.h>

namespace burdockhead {

// Why no replica may be chosen: the reason that is nearest to a permission, as that replica
// will be free first.
ErrorKind refusalReason(const ChoiceContext &context);

} // namespace burdockhead
