// Header fields that a proxy must not forward (RFC 9110 section 7.6.1). A pure function.
#pragma once

#include <boost/beast/http/fields.hpp>

#include "http/messages.h"

namespace mothrack::http {

// Removes the hop-by-hop fields, those that `Connection` names among them, and those that frame the body.
void RemoveHopByHop(beast_http::fields& fields);

}  // namespace mothrack::http
