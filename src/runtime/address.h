// Parses IP addresses with a port, as operators and discovery write them. Host names are not resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace mothrack::runtime {

using Endpoint = boost::asio::ip::tcp::endpoint;

// Parses `10.0.0.4:9000` or `[::1]:9000`. Returns nothing if the text is not such an address.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace mothrack::runtime
