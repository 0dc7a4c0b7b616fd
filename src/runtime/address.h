// An address and port, as operators and discovery write them. Pure: no name is looked up.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace mothrack::runtime {

using Endpoint = boost::asio::ip::tcp::endpoint;

// `10.0.0.4:9000` or `[::1]:9000`; nothing where the text is no such address.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace mothrack::runtime
