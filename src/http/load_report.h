// Parses an upstream's load report, sent in the header X-Server-Load or as the body of a load probe's answer.
#pragma once

#include <boost/beast/core/string.hpp>

#include "balancer/balancer.h"

namespace mothrack::http {

// Parses text such as `inflight=7,queue=2,util=0.61`. Field names are those of the protocol or of the
// settings; unknown names are ignored. If any value is malformed, the result is empty, because the rest of
// such a report cannot be trusted either.
balancer::LoadReport ParseLoadReport(boost::beast::string_view text);

}  // namespace mothrack::http
