// What an upstream says of its load, in the header X-Server-Load or as the body of a load probe's answer.
#pragma once

#include <boost/beast/core/string.hpp>

#include "balancer/balancer.h"

namespace mothrack::http {

// `inflight=7,queue=2,util=0.61`, under the names of the protocol or of the settings; unknown names are left
// out. A report of which a part can't be read is none: the rest of it is no more to be trusted.
balancer::LoadReport ParseLoadReport(boost::beast::string_view text);

}  // namespace mothrack::http
